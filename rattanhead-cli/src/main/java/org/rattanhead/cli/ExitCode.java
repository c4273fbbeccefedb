package org.rattanhead.cli;

/**
 * Exit codes of the command.
 */
public enum ExitCode {

	/** The subcommand succeeded. */
	OK(0),

	/** The subcommand was run and failed. */
	FAILED(1),

	/** The command line or a file is invalid; nothing was changed. */
	USAGE(2),

	/** A catalogue edit was rejected, or an answer was incorrect. */
	REJECTED(3);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the exit status.
	 * @return the exit status of the process
	 */
	public int value() {
		return this.value;
	}

}
