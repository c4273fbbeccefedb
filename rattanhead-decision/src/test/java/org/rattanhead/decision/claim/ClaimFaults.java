package org.rattanhead.decision.claim;

/**
 * How often a schedule meets each fault, in hundredths.
 *
 * @param lostAppendAnswer appends that take effect and whose answer is lost
 * @param failedAppend appends that do not take effect
 * @param outage steps at which the log goes down or comes back
 * @param crash steps at which a daemon dies and starts again empty
 * @param viewChange steps at which a daemon changes its mind about the members
 * @param lostMessage messages between daemons that are lost
 * @param pause steps at which a daemon handles nothing for a while
 * @param notRun orders that the lease holder refuses
 * @param unclearEnd runs that end without a known outcome
 */
record ClaimFaults(int lostAppendAnswer, int failedAppend, int outage, int crash, int viewChange, int lostMessage,
		int pause, int notRun, int unclearEnd) {

	/** Nothing goes wrong. */
	static final ClaimFaults NONE = new ClaimFaults(0, 0, 0, 0, 0, 0, 0, 0, 0);

	/** Everything goes wrong now and then. */
	static final ClaimFaults ALL = new ClaimFaults(20, 10, 4, 3, 8, 5, 4, 20, 15);

}
