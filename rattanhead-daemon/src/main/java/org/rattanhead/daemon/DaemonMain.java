package org.rattanhead.daemon;

import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

import org.rattanhead.daemon.gateway.GatewayMain;
import org.rattanhead.daemon.gateway.Rehearsal;
import org.rattanhead.ring.ShutdownHook;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.SettingsException;

/**
 * Runs a daemon until SIGTERM. Exit codes: 0 after a shutdown, 1 if it cannot start, 2 if
 * the command line or the settings are invalid.
 */
public final class DaemonMain {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private DaemonMain() {
	}

	/**
	 * Runs the daemon.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
		DaemonOptions options = new DaemonOptions();
		CmdLineParser parser = new CmdLineParser(options);
		try {
			parser.parseArgument(arguments);
			if (options.help()) {
				printUsage(parser);
				return;
			}
			IniFile file = IniFile.read(options.settings());
			if (GatewayMain.accepts(file)) {
				if (options.rehearse()) {
					Rehearsal.run(file);
				}
				else {
					GatewayMain.run(options.settings(), file, options.check());
				}
				return;
			}
			DaemonSettings settings = DaemonSettingsFile.parse(file);
			if (!options.check()) {
				run(settings);
			}
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage() + "; use these options:");
			printUsage(parser);
			System.exit(EXIT_USAGE);
		}
		catch (SettingsException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE);
		}
		catch (RuntimeException ex) {
			System.err.println("The daemon cannot start: " + ex.getMessage()
					+ "; check that its addresses are free and belong to this host");
			System.exit(EXIT_FAILED);
		}
	}

	private static void run(DaemonSettings settings) {
		LogSetup.apply(settings.logs());
		CountDownLatch stopped = new CountDownLatch(1);
		try (Daemon daemon = new Daemon(settings)) {
			ShutdownHook.register(() -> {
				daemon.drain();
				daemon.close();
				stopped.countDown();
			});
			stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void printUsage(CmdLineParser parser) {
		System.err.println("rattanheadd --settings FILE");
		parser.printUsage(System.err);
	}

}
