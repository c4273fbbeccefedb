package org.rattanhead.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/**
 * Runs the turns of connections that have more work than they may do at once. Between two
 * rounds the thread attends to its other connections, which a thread with a queue of
 * tasks would do only once that queue is empty. Confined to one thread.
 */
public final class TurnQueue {

	/** The delay between two rounds, in milliseconds. */
	public static final long ROUND_INTERVAL_MILLIS = 1;

	/** How much a connection may read in one turn, in bytes. */
	public static final int MAX_TURN_BYTES = 64 * 1024;

	/**
	 * How often a connection may read in one turn, whose reads may return few bytes each.
	 */
	public static final int MAX_TURN_READS = 256;

	private static final int TURNS_PER_ROUND = 8;

	private final Consumer<Runnable> nextRound;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private boolean scheduled;

	/**
	 * Creates a queue.
	 * @param nextRound runs an action on the thread of the queue after
	 * {@link #ROUND_INTERVAL_MILLIS}; rejects it if the thread has stopped
	 */
	public TurnQueue(Consumer<Runnable> nextRound) {
		this.nextRound = nextRound;
	}

	/**
	 * Adds a turn, which runs in one of the next rounds.
	 * @param turn the turn
	 */
	public void add(Runnable turn) {
		this.waiting.add(turn);
		schedule();
	}

	private void schedule() {
		if (this.scheduled || this.waiting.isEmpty()) {
			return;
		}
		try {
			this.nextRound.accept(this::runRound);
			this.scheduled = true;
		}
		catch (RejectedExecutionException ex) {
			// The connections of the thread are closed.
			this.waiting.clear();
		}
	}

	private void runRound() {
		this.scheduled = false;
		int turns = Math.min(TURNS_PER_ROUND, this.waiting.size());
		try {
			for (int turn = 0; turn < turns; turn++) {
				this.waiting.remove().run();
			}
		}
		finally {
			schedule();
		}
	}

}
