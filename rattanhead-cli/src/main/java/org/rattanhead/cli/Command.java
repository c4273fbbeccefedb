package org.rattanhead.cli;

import java.io.PrintStream;

/**
 * One subcommand. args4j fills its fields.
 */
public interface Command {

	/**
	 * Runs the subcommand.
	 * @param out where results are written
	 * @param err where progress and errors are written
	 * @return the exit code
	 * @throws Exception if it fails; the message names the remedy
	 */
	ExitCode run(PrintStream out, PrintStream err) throws Exception;

}
