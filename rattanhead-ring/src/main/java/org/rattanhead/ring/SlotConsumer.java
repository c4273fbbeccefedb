package org.rattanhead.ring;

import java.util.function.Consumer;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;

/**
 * Handles the slots of a ring one by one, and after each the completions that found no
 * free slot. The processor of the library releases slots by batches, after which it may
 * wait without looking at those completions.
 *
 * @param <E> the type of the events
 */
final class SlotConsumer<E> {

	private final RingBuffer<Slot<E>> ring;

	private final SequenceBarrier barrier;

	private final Overflow<E> overflow;

	private final Consumer<E> handler;

	private final Sequence handled = new Sequence();

	private volatile boolean halted;

	SlotConsumer(RingBuffer<Slot<E>> ring, Overflow<E> overflow, Consumer<E> handler) {
		this.ring = ring;
		this.barrier = ring.newBarrier();
		this.overflow = overflow;
		this.handler = handler;
	}

	/**
	 * Returns the sequence of the last slot that was handled.
	 * @return the sequence
	 */
	Sequence handled() {
		return this.handled;
	}

	/**
	 * Handles slots until a stop marker or {@link #halt()}.
	 * @throws InterruptedException if the thread was interrupted
	 */
	void run() throws InterruptedException {
		long next = this.handled.get() + 1;
		while (!this.halted) {
			long available = await(next);
			while (next <= available && !this.halted) {
				handle(this.ring.get(next));
				// Volatile: a producer that still finds the ring full has added its event
				// before the next line looks.
				this.handled.setVolatile(next);
				this.overflow.drain(next, this.handler);
				next++;
			}
		}
		this.overflow.drain(Long.MAX_VALUE, this.handler);
	}

	void halt() {
		this.halted = true;
		this.barrier.alert();
	}

	private long await(long sequence) throws InterruptedException {
		try {
			return this.barrier.waitFor(sequence);
		}
		catch (AlertException | TimeoutException ex) {
			return sequence - 1;
		}
	}

	private void handle(Slot<E> slot) {
		if (slot.isStopMarker()) {
			this.halted = true;
			return;
		}
		E event = slot.take();
		if (event != null) {
			this.handler.accept(event);
		}
	}

}
