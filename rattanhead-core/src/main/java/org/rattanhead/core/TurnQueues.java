package org.rattanhead.core;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.BiConsumer;

/**
 * The turn queues of several threads.
 *
 * @param <T> the type of the threads
 */
public final class TurnQueues<T> {

	private final BiConsumer<T, Runnable> nextRound;

	private final ConcurrentMap<T, TurnQueue> queues = new ConcurrentHashMap<>();

	/**
	 * Creates the queues.
	 * @param nextRound runs an action on a thread after
	 * {@link TurnQueue#ROUND_INTERVAL_MILLIS}
	 */
	public TurnQueues(BiConsumer<T, Runnable> nextRound) {
		this.nextRound = nextRound;
	}

	/**
	 * Returns the queue of a thread.
	 * @param thread the thread
	 * @return the queue
	 */
	public TurnQueue of(T thread) {
		return this.queues.computeIfAbsent(thread,
				(added) -> new TurnQueue((round) -> this.nextRound.accept(added, round)));
	}

}
