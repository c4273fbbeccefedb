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

	private static final long SETTLE_NANOS = 3_000_000_000L;

	private final HandlerTable<MembershipEvent, Membership> events = new HandlerTable<>();

	private final String self;

	private final Set<String> linked = new HashSet<>();

	private final Set<String> leaving = new HashSet<>();

	private Optional<HostList> list = Optional.empty();

	private Optional<Long> firstListNanos = Optional.empty();

	private boolean settled;

	/**
	 * Creates the decider of one daemon.
	 * @param self the name of this daemon
	 */
	public MembershipDecider(String self) {
		this.self = self;
		this.events.on(HostsListed.class, this::listed)
			.on(LinkUp.class, this::linkUp)
			.on(LinkDown.class, this::linkDown)
			.on(GoodbyeReceived.class, this::goodbye)
			.on(MembershipTick.class, (event, now) -> conclude(now))
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

	private Membership listed(HostsListed event, long nowNanos) {
		this.list = Optional.of(event.list());
		if (this.firstListNanos.isEmpty()) {
			this.firstListNanos = Optional.of(nowNanos);
		}
		return conclude(nowNanos);
	}

	private Membership linkUp(LinkUp event, long nowNanos) {
		this.linked.add(event.host());
		this.leaving.remove(event.host());
		return conclude(nowNanos);
	}

	private Membership linkDown(LinkDown event, long nowNanos) {
		this.linked.remove(event.host());
		this.leaving.remove(event.host());
		return conclude(nowNanos);
	}

	private Membership goodbye(GoodbyeReceived event, long nowNanos) {
		this.leaving.add(event.host());
		return conclude(nowNanos);
	}

	private Membership conclude(long nowNanos) {
		if (this.list.isEmpty()) {
			return Membership.EMPTY;
		}
		List<Host> entries = this.list.get().liveEntries();
		List<Host> members = entries.stream().filter(this::live).toList();
		boolean waited = nowNanos - this.firstListNanos.orElse(nowNanos) >= SETTLE_NANOS;
		this.settled = this.settled || waited || members.size() == entries.size();
		List<Host> peers = this.list.get()
			.hosts()
			.stream()
			.filter((host) -> host.role() == HostRole.ENTRY && !host.name().equals(this.self))
			.toList();
		return new Membership(this.settled, this.settled ? members : List.of(), peers, members, leavingUpstreams());
	}

	private boolean live(Host host) {
		boolean reachable = host.name().equals(this.self) || this.linked.contains(host.name());
		return reachable && !this.leaving.contains(host.name());
	}

	private Set<String> leavingUpstreams() {
		return this.list.orElse(HostList.EMPTY)
			.hosts()
			.stream()
			.filter((host) -> host.role() == HostRole.UPSTREAM && host.state() == HostState.LEAVING)
			.map(Host::name)
			.collect(Collectors.toSet());
	}

}
