package org.rattanhead.cli;

import java.io.PrintStream;

/**
 * A subcommand. args4j sets its fields from the command line.
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
