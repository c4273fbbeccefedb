package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.forward.Member;

/**
 * The state shown by HTTP pages. Duties write it, I/O threads read it.
 */
final class GatewayBoard {

	private final Member self;

	private volatile boolean configured;

	private volatile boolean instancesKnown;

	private volatile boolean draining;

	private volatile boolean serving;

	private volatile List<Member> others = List.of();

	GatewayBoard(Member self) {
		this.self = self;
	}

	void configured() {
		this.configured = true;
	}

	void instancesKnown() {
		this.instancesKnown = true;
	}

	void drain() {
		this.draining = true;
	}

	void serving(boolean self, List<Member> servingOthers) {
		this.serving = self;
		this.others = servingOthers;
	}

	boolean ready() {
		return this.configured && this.instancesKnown && !this.draining;
	}

	/**
	 * Lists the addresses that callers may use now. A standby daemon includes itself only
	 * if no other daemon serves.
	 * @return the addresses, that of this daemon first
	 */
	List<String> addresses() {
		List<String> addresses = new ArrayList<>();
		List<Member> named = this.others;
		if (ready() && (this.serving || named.isEmpty())) {
			addresses.add(this.self.callersAddress());
		}
		named.forEach((member) -> addresses.add(member.callersAddress()));
		return addresses;
	}

}
