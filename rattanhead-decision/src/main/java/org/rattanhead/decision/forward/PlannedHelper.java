package org.rattanhead.decision.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * An instance selected to read a part of a prompt.
 *
 * @param load the instance with its load
 * @param reservedTokens the memory to reserve on it, in tokens; 0 for none
 */
record PlannedHelper(InstanceLoad load, long reservedTokens) {

	String ticketName(AttemptId attempt) {
		return attempt + "-" + this.load.instance().id();
	}

}
