package org.rattanhead.daemon.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.ForwardTick;
import org.rattanhead.platform.keyed.FollowTimer;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Offers ticks to the decisions. At most one waits in their ring, so that it need not
 * leave room for others: a tick that a crowded ring refuses is one at which no deadline
 * is enforced.
 */
final class TickSchedule {

	/** The period of ticks while requests are in progress. */
	private static final long TICK_MILLIS = 20;

	private final FollowTimer timer;

	private final EventSink<ForwardEvent> decisions;

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private final AtomicBoolean waiting = new AtomicBoolean();

	/**
	 * Creates a schedule.
	 * @param timer runs an action after a delay
	 * @param decisions the ring of the decisions
	 */
	TickSchedule(FollowTimer timer, EventSink<ForwardEvent> decisions) {
		this.timer = timer;
		this.decisions = decisions;
	}

	/**
	 * Offers a tick now, unless one waits in the ring.
	 */
	void offerTick() {
		this.scheduled.set(false);
		if (this.waiting.compareAndSet(false, true)) {
			this.decisions.offer(new ForwardTick(), Urgency.COMPLETION);
		}
	}

	/**
	 * Notes that the decisions have handled an event.
	 * @param event the event
	 * @param busy whether requests are in progress
	 */
	void handled(ForwardEvent event, boolean busy) {
		if (event instanceof ForwardTick) {
			this.waiting.set(false);
		}
		if (busy && this.scheduled.compareAndSet(false, true)) {
			this.timer.after(TICK_MILLIS, this::offerTick);
		}
	}

}
