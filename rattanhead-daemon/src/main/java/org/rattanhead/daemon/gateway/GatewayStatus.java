package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.forward.Member;

/**
 * The state reported by the readiness and directory pages. Written by duties and, at the
 * start of a drain, by the thread that shuts the gateway down; read by I/O threads.
 */
final class GatewayStatus {

	private final Member self;

	private volatile boolean configured;

	private volatile boolean instancesLoaded;

	private volatile boolean draining;

	private volatile boolean serving;

	private volatile List<Member> otherServingMembers = List.of();

	GatewayStatus(Member self) {
		this.self = self;
	}

	void markConfigured() {
		this.configured = true;
	}

	void markInstancesLoaded() {
		this.instancesLoaded = true;
	}

	void startDraining() {
		this.draining = true;
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

	boolean ready() {
		return loaded() && !this.draining;
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
