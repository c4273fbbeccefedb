package org.rattanhead.cli.demo;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.standin.EngineRates;
import org.rattanhead.standin.StandinFleet;
import org.rattanhead.standin.host.HostListStandin;
import org.rattanhead.standin.host.HostsFile;
import org.rattanhead.standin.log.LogLimits;
import org.rattanhead.standin.log.LogStandin;

/**
 * Runs the stand-ins for the platform and for all upstreams of a catalogue, to which
 * daemons in separate processes connect.
 */
public final class StandinsCommand implements Command {

	@Option(name = "--catalogue", metaVar = "FILE", required = true, usage = "catalogue file that names the upstreams")
	private Path catalogue;

	@Option(name = "--hosts", metaVar = "FILE", required = true, usage = "file that names the entry hosts")
	private Path hosts;

	@Option(name = "--log", metaVar = "IP:PORT", required = true, usage = "where the log service listens")
	private String log;

	@Option(name = "--host-list", metaVar = "IP:PORT", required = true, usage = "where the host list listens")
	private String hostList;

	@Option(name = "--host-list-lag-ms", metaVar = "MS", usage = "lag of the host list, in milliseconds (default 500)")
	private long hostListLagMillis = 500;

	@Option(name = "--prefill-tokens-per-second", metaVar = "N", usage = "speed of the engines (default 400000)")
	private double prefillTokensPerSecond = EngineRates.DEMO.prefillTokensPerSecond();

	@Option(name = "--decode-tokens-per-second", metaVar = "N", usage = "speed of each answer (default 100)")
	private double decodeTokensPerSecond = EngineRates.DEMO.decodeTokensPerSecond();

	@Override
	public ExitCode run(PrintStream out, PrintStream err) throws Exception {
		Catalogue desired = DemoCatalogue.read(this.catalogue);
		EngineRates rates = new EngineRates(this.prefillTokensPerSecond, this.decodeTokensPerSecond,
				EngineRates.DEMO.coldStartMillis(), EngineRates.DEMO.loadLagMillis());
		try (LogStandin logService = new LogStandin(HostAddress.parse(this.log), LogLimits.DEFAULT);
				HostListStandin hostService = new HostListStandin(HostAddress.parse(this.hostList),
						this.hostListLagMillis);
				StandinFleet fleet = new StandinFleet(desired, rates, false)) {
			hostService.set(HostsFile.read(this.hosts));
			out.printf("log service at %s, host list at %s, %d engines, %d plain services%n", logService.address(),
					hostService.address(), fleet.engines().size(), fleet.services().size());
			out.flush();
			new CountDownLatch(1).await();
		}
		return ExitCode.OK;
	}

}
