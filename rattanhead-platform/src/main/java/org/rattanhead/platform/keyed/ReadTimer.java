package org.rattanhead.platform.keyed;

import java.util.function.Consumer;

/**
 * Announces when the next read is due. Only the last announcement counts.
 */
final class ReadTimer {

	private final ReadSchedule schedule;

	private final FollowTimer timer;

	private final Consumer<FollowEvent> events;

	private long lastNumber;

	ReadTimer(ReadSchedule schedule, FollowTimer timer, Consumer<FollowEvent> events) {
		this.schedule = schedule;
		this.timer = timer;
		this.events = events;
	}

	void start(long nowNanos) {
		this.lastNumber++;
		ReadDue due = new ReadDue(this.lastNumber);
		this.timer.after(this.schedule.delayMillis(nowNanos), () -> this.events.accept(due));
	}

	boolean isLast(ReadDue due) {
		return due.timer() == this.lastNumber;
	}

}
