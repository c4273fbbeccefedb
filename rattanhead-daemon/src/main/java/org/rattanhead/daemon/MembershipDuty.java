package org.rattanhead.daemon;

import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostList;
import org.rattanhead.decision.membership.HostListReceived;
import org.rattanhead.decision.membership.Membership;
import org.rattanhead.decision.membership.MembershipDecider;
import org.rattanhead.decision.membership.MembershipEvent;
import org.rattanhead.decision.membership.MembershipTick;
import org.rattanhead.platform.HostListService;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;

/**
 * The duty that follows the host list and the links, and tells the other duties which
 * daemons are live.
 */
final class MembershipDuty implements EventSink<MembershipEvent>, AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(MembershipDuty.class);

	private static final int RING_SLOTS = 1_024;

	private static final long POLL_MILLIS = 500;

	private final HostListService hosts;

	private final Consumer<Membership> onChange;

	private final MembershipDecider decider;

	private final Duty<MembershipEvent> duty;

	private Membership last = Membership.EMPTY;

	private volatile boolean listFailing;

	MembershipDuty(String self, HostListService hosts, Consumer<Membership> onChange) {
		this.hosts = hosts;
		this.onChange = onChange;
		this.decider = new MembershipDecider(self);
		this.duty = new Duty<>("membership", RING_SLOTS, System::nanoTime, this::handle);
	}

	void start(Ticker ticker) {
		poll();
		ticker.every(POLL_MILLIS, this::poll);
	}

	@Override
	public boolean offer(MembershipEvent event, Urgency urgency) {
		return this.duty.offer(event, urgency);
	}

	Duty<?> duty() {
		return this.duty;
	}

	private void poll() {
		offer(new MembershipTick(), Urgency.STREAM);
		this.hosts.hosts().whenComplete(this::listed);
	}

	private void listed(HostList list, Throwable failure) {
		if (failure == null) {
			this.listFailing = false;
			offer(new HostListReceived(list), Urgency.CONTROL);
		}
		else if (!this.listFailing) {
			this.listFailing = true;
			LOGGER.warn("membership: the host list cannot be read ({}); the last list stays in use",
					failure.getMessage());
		}
	}

	private void handle(MembershipEvent event, long nowNanos) {
		Membership next = this.decider.decide(event, nowNanos);
		if (!next.equals(this.last)) {
			this.last = next;
			LOGGER.info("membership: live daemons {} leaving upstreams {}",
					next.members().stream().map(Host::name).toList(), next.leavingUpstreams());
			this.onChange.accept(next);
		}
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
