package org.rattanhead.cli.demo;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.cli.load.LengthMix;
import org.rattanhead.cli.load.LoadPlan;
import org.rattanhead.cli.load.LoadReport;
import org.rattanhead.cli.load.LoadResult;
import org.rattanhead.cli.load.LoadRun;
import org.rattanhead.cli.load.LoadTarget;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.standin.EngineRates;

/**
 * Runs the complete system in one process, with stand-ins for the platform and the
 * upstreams.
 */
public final class DemoCommand implements Command {

	private static final double ONCE_RATE_PER_SECOND = 20;

	private static final long ONCE_DURATION_MILLIS = 6_000;

	@Option(name = "--catalogue", metaVar = "FILE", usage = "catalogue file (default: the shipped example)")
	private Path catalogue;

	@Option(name = "--once", usage = "send a small mixed load, print a table and exit")
	private boolean once;

	@Option(name = "--key", metaVar = "KEY", usage = "key of the workspace that sends the load")
	private String key = "demo-key-clerks";

	@Option(name = "--seed", metaVar = "N", usage = "seed of the load (default 1)")
	private long seed = 1;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) throws Exception {
		ClusterSettings settings = ClusterSettings.of(DemoCatalogue.read(this.catalogue), EngineRates.DEMO, this.once);
		try (LocalCluster cluster = new LocalCluster(settings)) {
			printOverview(cluster, settings, out);
			return this.once ? runLoad(cluster, settings, out, err) : serve(err);
		}
	}

	private void printOverview(LocalCluster cluster, ClusterSettings settings, PrintStream out) {
		out.printf("%d daemons, %d engines in %d failure domains%n", cluster.daemons().size(),
				cluster.fleet().engines().size(), settings.catalogue().list(FailureDomainEntry.class).size());
		cluster.hosts().forEach((host) -> out.printf("  %-20s http://%s%n", host.name(), host.callerAddress()));
		out.printf(
				"Try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "
						+ "-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,"
						+ "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n",
				cluster.hosts().get(0).callerAddress(), this.key, model(settings));
	}

	private ExitCode runLoad(LocalCluster cluster, ClusterSettings settings, PrintStream out, PrintStream err)
			throws InterruptedException {
		LoadPlan plan = LoadPlan.poisson(this.seed, ONCE_RATE_PER_SECOND, ONCE_DURATION_MILLIS, LengthMix.MIXED);
		LoadTarget target = new LoadTarget(cluster.addresses(), this.key, model(settings), true);
		LoadResult result = LoadRun.run(plan, target, err);
		LoadReport.table(result, out);
		boolean correct = result.outcomes().stream().allMatch((outcome) -> outcome.answeredCorrectly());
		out.println(correct ? "Every request was answered, and every answer was correct."
				: "Some requests failed or were answered incorrectly; see the table.");
		return correct ? ExitCode.OK : ExitCode.REJECTED;
	}

	private static ExitCode serve(PrintStream err) throws InterruptedException {
		err.println("Serving until interrupted.");
		new CountDownLatch(1).await();
		return ExitCode.OK;
	}

	private static String model(ClusterSettings settings) {
		return settings.catalogue().list(ModelEntry.class).get(0).name();
	}

}
