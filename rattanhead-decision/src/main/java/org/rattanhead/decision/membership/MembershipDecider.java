package org.rattanhead.decision.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostList;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;

/**
 * Decides which daemons are live. A daemon counts as live while the host list shows it as
 * live and the link to it is up. After a start, no members are reported until every
 * listed daemon is connected or the settling time has passed, so that a new daemon does
 * not take leases that others hold. The state is owned by one duty.
 */
public final class MembershipDecider {

	private static final long SETTLING_NANOS = 3_000_000_000L;

	private final HandlerTable<MembershipEvent, Membership> events = new HandlerTable<>();

	private final String self;

	private final Set<String> connected = new HashSet<>();

	private final Set<String> shuttingDown = new HashSet<>();

	private Optional<HostList> hostList = Optional.empty();

	private Optional<Long> firstListNanos = Optional.empty();

	private boolean settled;

	/**
	 * Creates the decider of one daemon.
	 * @param self the name of this daemon
	 */
	public MembershipDecider(String self) {
		this.self = self;
		this.events.on(HostListReceived.class, this::hostListReceived)
			.on(LinkUp.class, this::linkUp)
			.on(LinkDown.class, this::linkDown)
			.on(GoodbyeReceived.class, this::goodbyeReceived)
			.on(MembershipTick.class, (event, now) -> evaluate(now))
			.covering(MembershipEvent.class);
	}

	/**
	 * Decides on one event.
	 * @param event the event
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the membership after the event
	 */
	public Membership decide(MembershipEvent event, long nowNanos) {
		return this.events.handle(event, nowNanos);
	}

	private Membership hostListReceived(HostListReceived event, long nowNanos) {
		this.hostList = Optional.of(event.list());
		if (this.firstListNanos.isEmpty()) {
			this.firstListNanos = Optional.of(nowNanos);
		}
		return evaluate(nowNanos);
	}

	private Membership linkUp(LinkUp event, long nowNanos) {
		this.connected.add(event.host());
		this.shuttingDown.remove(event.host());
		return evaluate(nowNanos);
	}

	private Membership linkDown(LinkDown event, long nowNanos) {
		this.connected.remove(event.host());
		this.shuttingDown.remove(event.host());
		return evaluate(nowNanos);
	}

	private Membership goodbyeReceived(GoodbyeReceived event, long nowNanos) {
		this.shuttingDown.add(event.host());
		return evaluate(nowNanos);
	}

	private Membership evaluate(long nowNanos) {
		if (this.hostList.isEmpty()) {
			return Membership.EMPTY;
		}
		List<Host> entries = this.hostList.get().liveEntries();
		List<Host> members = entries.stream().filter(this::live).toList();
		boolean settlingTimePassed = nowNanos - this.firstListNanos.orElse(nowNanos) >= SETTLING_NANOS;
		this.settled = this.settled || settlingTimePassed || members.size() == entries.size();
		List<Host> peers = this.hostList.get()
			.hosts()
			.stream()
			.filter((host) -> host.role() == HostRole.ENTRY && !host.name().equals(this.self))
			.toList();
		return new Membership(this.settled, this.settled ? members : List.of(), peers, members, leavingUpstreams());
	}

	private boolean live(Host host) {
		boolean reachable = host.name().equals(this.self) || this.connected.contains(host.name());
		return reachable && !this.shuttingDown.contains(host.name());
	}

	private Set<String> leavingUpstreams() {
		return this.hostList.orElse(HostList.EMPTY)
			.hosts()
			.stream()
			.filter((host) -> host.role() == HostRole.UPSTREAM && host.state() == HostState.LEAVING)
			.map(Host::name)
			.collect(Collectors.toSet());
	}

}
