package org.rattanhead.cli;

import org.apache.logging.log4j.Level;

import org.rattanhead.daemon.LogFormat;
import org.rattanhead.daemon.LogSettings;
import org.rattanhead.daemon.LogSetup;

/**
 * Entry point of the command {@code rattanhead}.
 */
public final class CliMain {

	private CliMain() {
	}

	/**
	 * Runs the command and ends the process with its exit code.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
		LogSetup.apply(new LogSettings(LogFormat.TEXT, Level.WARN));
		ExitCode code = new CommandLine().run(arguments, System.out, System.err);
		System.out.flush();
		System.exit(code.value());
	}

}
