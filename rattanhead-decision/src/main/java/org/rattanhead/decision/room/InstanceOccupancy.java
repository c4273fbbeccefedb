package org.rattanhead.decision.room;

/**
 * What all daemons together have placed on one instance.
 *
 * @param slots the most requests that it runs concurrently
 * @param running the requests placed on it, including those that wait there
 * @param backlogMillis the time to read the prompts placed on it, in milliseconds
 * @param usedTokens the memory that the placed requests need, in tokens
 */
public record InstanceOccupancy(int slots, int running, double backlogMillis, long usedTokens) {

	int waiting() {
		return this.running - this.slots;
	}

	int taken() {
		return Math.min(this.running, this.slots);
	}

}
