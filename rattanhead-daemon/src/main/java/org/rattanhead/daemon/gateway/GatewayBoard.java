package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.forward.Member;

/**
 * What pages show: written by duties, read by I/O threads.
 */
final class GatewayBoard {

	private final Member self;

	private volatile boolean configured;

	private volatile boolean instancesKnown;

	private volatile boolean draining;

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

	void others(List<Member> ready) {
		this.others = ready;
	}

	boolean ready() {
		return this.configured && this.instancesKnown && !this.draining;
	}

	/**
	 * Lists the addresses that callers may use now.
	 * @return the addresses, that of this daemon first if it is ready
	 */
	List<String> addresses() {
		List<String> addresses = new ArrayList<>();
		if (ready()) {
			addresses.add(this.self.callersAddress());
		}
		this.others.forEach((member) -> addresses.add(member.callersAddress()));
		return addresses;
	}

}
