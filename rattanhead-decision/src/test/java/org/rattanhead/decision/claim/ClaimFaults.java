package org.rattanhead.decision.claim;

/**
 * The rate of each fault in a schedule, in percent.
 *
 * @param lostAppendConfirmation appends that take effect and whose confirmation is lost
 * @param failedAppend appends that do not take effect
 * @param outage steps at which the log goes down or recovers
 * @param crash steps at which a daemon crashes and restarts without state
 * @param membersChange steps at which a daemon receives another list of members
 * @param lostMessage messages between daemons that are lost
 * @param pause steps at which a daemon stops handling events for up to 6 s
 * @param notRun orders that the lease holder refuses
 * @param unknownOutcome runs that end without a known outcome
 */
record ClaimFaults(int lostAppendConfirmation, int failedAppend, int outage, int crash, int membersChange,
		int lostMessage, int pause, int notRun, int unknownOutcome) {

	/** No faults. */
	static final ClaimFaults NONE = new ClaimFaults(0, 0, 0, 0, 0, 0, 0, 0, 0);

	/** All faults at moderate rates. */
	static final ClaimFaults ALL = new ClaimFaults(20, 10, 4, 3, 8, 5, 4, 20, 15);

}
