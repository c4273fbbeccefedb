package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.forward.Member;

/**
 * The state reported by the readiness and directory pages. Written by duties and, at the
 * start of a drain, by the thread that shuts the gateway down; read by I/O threads.
 */
final class GatewayStatus {

	/**
	 * The failed reads of the daemons' records, after all other records were read, from
	 * which the gateway no longer waits for them. With the pauses between reads, that is
	 * 1 s if the store refuses them, and 4 s if it does not answer.
	 */
	private static final int MAX_MEMBER_READ_FAILURES = 3;

	private final Member self;

	private volatile boolean configured;

	private volatile boolean instancesLoaded;

	private volatile boolean membersLoaded;

	private volatile boolean draining;

	private volatile boolean stranded;

	private volatile boolean serving;

	private volatile List<Member> otherServingMembers = List.of();

	private int memberReadFailures;

	GatewayStatus(Member self) {
		this.self = self;
	}

	void markConfigured() {
		this.configured = true;
	}

	void markInstancesLoaded() {
		this.instancesLoaded = true;
	}

	/**
	 * Records that the records of daemons were read, which include the suspects that are
	 * blocked.
	 */
	void markMembersLoaded() {
		this.membersLoaded = true;
	}

	/**
	 * Records that the records of daemons could not be read. Called by one duty.
	 */
	void memberReadFailed() {
		if (this.configured && this.instancesLoaded) {
			this.memberReadFailures++;
			this.membersLoaded |= this.memberReadFailures >= MAX_MEMBER_READ_FAILURES;
		}
	}

	void startDraining() {
		this.draining = true;
	}

	void updateStranded(boolean nowStranded) {
		this.stranded = nowStranded;
	}

	void updateServing(boolean selfServing, List<Member> newOtherServingMembers) {
		this.serving = selfServing;
		this.otherServingMembers = newOtherServingMembers;
	}

	/**
	 * Returns whether this daemon has a configuration and the instances, without which it
	 * sends no requests.
	 * @return true if it has both
	 */
	boolean loaded() {
		return this.configured && this.instancesLoaded;
	}

	/**
	 * Returns whether callers may use this gateway. It waits for the stored suspects,
	 * since it would send the requests with which instances crash, and does not accept
	 * callers while only other gateways reach the instances.
	 * @return true if they may
	 */
	boolean ready() {
		return loaded() && this.membersLoaded && !this.draining && !this.stranded;
	}

	/**
	 * Lists the addresses that callers may use now. This daemon is included only if it is
	 * ready, and as a standby only if no other daemon serves.
	 * @return the addresses; that of this daemon first, if it is included
	 */
	List<String> addresses() {
		List<String> addresses = new ArrayList<>();
		List<Member> others = this.otherServingMembers;
		if (ready() && (this.serving || others.isEmpty())) {
			addresses.add(this.self.callersAddress());
		}
		others.forEach((member) -> addresses.add(member.callersAddress()));
		return addresses;
	}

}
