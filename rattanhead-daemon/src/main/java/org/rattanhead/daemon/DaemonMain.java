package org.rattanhead.daemon;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

import org.rattanhead.daemon.gateway.GatewayMain;
import org.rattanhead.daemon.gateway.Rehearsal;
import org.rattanhead.ring.DeferredAction;
import org.rattanhead.ring.HangupSignal;
import org.rattanhead.ring.LostThreadHandler;
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
		LostThreadHandler.install();
		DeferredAction hangup = new DeferredAction();
		Runnable restoreHangup = HangupSignal.register(hangup);
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
				runGateway(options, file, hangup);
				return;
			}
			restoreHangup.run();
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

	private static void runGateway(DaemonOptions options, IniFile file, DeferredAction hangup) {
		if (options.rehearse()) {
			Rehearsal.run(file);
		}
		else {
			GatewayMain.run(options.settings(), file, options.check(), hangup);
		}
	}

	private static void run(DaemonSettings settings) {
		ServiceLifecycle lifecycle = new ServiceLifecycle();
		ShutdownHook.register(lifecycle::shutDown);
		LogSetup.apply(settings.logs());
		lifecycle.run(() -> new Daemon(settings));
	}

	private static void printUsage(CmdLineParser parser) {
		System.err.println("rattanheadd --settings FILE");
		parser.printUsage(System.err);
	}

}
