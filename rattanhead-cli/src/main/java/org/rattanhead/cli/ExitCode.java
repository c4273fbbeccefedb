package org.rattanhead.cli;

/**
 * Exit codes of the command.
 */
public enum ExitCode {

	/** Everything was done. */
	OK(0),

	/** It was tried and failed. */
	FAILED(1),

	/** The command line or a file is faulty; nothing was done. */
	USAGE(2),

	/** An edit was rejected, or an answer was wrong. */
	REJECTED(3);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the value.
	 * @return the exit status of the process
	 */
	public int value() {
		return this.value;
	}

}
