package org.rattanhead.cli.load;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.host.HostAddress;

/**
 * Sends an open-loop, seeded load and prints percentiles by prompt length.
 */
public final class LoadCommand implements Command {

	@Option(name = "--addresses", metaVar = "IP:PORT,...", required = true, usage = "addresses of daemons")
	private String addresses;

	@Option(name = "--key", metaVar = "KEY", required = true, usage = "key of the workspace")
	private String key;

	@Option(name = "--model", metaVar = "NAME", required = true, usage = "model to request")
	private String model;

	@Option(name = "--rate", metaVar = "N", usage = "requests a second (default 10)")
	private double ratePerSecond = 10;

	@Option(name = "--duration-ms", metaVar = "MS", usage = "how long requests are sent, in milliseconds")
	private long durationMillis = 10_000;

	@Option(name = "--seed", metaVar = "N", usage = "seed of the load (default 1)")
	private long seed = 1;

	@Option(name = "--short-only", usage = "send prompts of one to two thousand tokens only")
	private boolean shortOnly;

	@Option(name = "--verify", usage = "compare answers with those of the engine stand-in")
	private boolean verify;

	@Option(name = "--json", usage = "write JSON")
	private boolean json;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) throws InterruptedException {
		List<InetSocketAddress> targets = Arrays.stream(this.addresses.split(",")).map(HostAddress::parse).toList();
		LoadPlan plan = LoadPlan.poisson(this.seed, this.ratePerSecond, this.durationMillis,
				this.shortOnly ? LengthMix.SHORT : LengthMix.MIXED);
		LoadResult result = LoadRun.run(plan, new LoadTarget(targets, this.key, this.model, this.verify), err);
		if (this.json) {
			out.println(LoadReport.json(result));
		}
		else {
			LoadReport.table(result, out);
		}
		boolean incorrect = result.outcomes().stream().anyMatch((outcome) -> outcome.complete() && !outcome.correct());
		return incorrect ? ExitCode.REJECTED : ExitCode.OK;
	}

}
