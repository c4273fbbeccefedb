package org.rattanhead.ring;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.lmax.disruptor.BatchEventProcessor;
import com.lmax.disruptor.BatchEventProcessorBuilder;
import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.RingBuffer;

/**
 * A consumer thread with a bounded ring buffer. Any thread may offer events; the thread
 * of the duty handles them in the order of the ring and blocks while the ring is empty.
 * Offering never blocks: a full ring refuses the event.
 *
 * @param <E> the type of the events
 */
public final class Duty<E> implements EventSink<E>, AutoCloseable {

	private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

	private final String name;

	private final RingBuffer<Slot<E>> ring;

	private final BatchEventProcessor<Slot<E>> processor;

	private final Thread thread;

	private final AtomicLong refusedCount = new AtomicLong();

	/**
	 * Starts a duty.
	 * @param name the name of the duty and of its thread
	 * @param capacity the number of slots of the ring, a power of two
	 * @param clock the monotonic clock, in nanoseconds
	 * @param handler the handler of the events
	 */
	public Duty(String name, int capacity, LongSupplier clock, DutyHandler<E> handler) {
		this.name = name;
		this.ring = RingBuffer.createMultiProducer(Slot::new, capacity, new BlockingWaitStrategy());
		this.processor = new BatchEventProcessorBuilder().build(this.ring, this.ring.newBarrier(),
				(slot, sequence, endOfBatch) -> process(slot, clock, handler));
		this.ring.addGatingSequences(this.processor.getSequence());
		this.thread = new Thread(this.processor, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	@Override
	public boolean offer(E event, Urgency urgency) {
		if (this.ring.remainingCapacity() <= urgency.reservedSlots(this.ring.getBufferSize())) {
			return recordRefusal();
		}
		return this.ring.tryPublishEvent((slot, sequence) -> slot.set(event)) || recordRefusal();
	}

	/**
	 * Returns the number of events in the ring, including the batch being handled.
	 * @return the number of events
	 */
	public long backlog() {
		return this.ring.getBufferSize() - this.ring.remainingCapacity();
	}

	/**
	 * Returns the number of events refused since the start for lack of free slots.
	 * @return the number of events
	 */
	public long refused() {
		return this.refusedCount.get();
	}

	/**
	 * Returns the name of the duty.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Stops the thread after the pending events. If the ring is full, the thread may stop
	 * without handling all of them. Waits at most 5 s for the thread to end.
	 */
	@Override
	public void close() {
		if (!this.ring.tryPublishEvent((slot, sequence) -> slot.markStop())) {
			this.processor.halt();
		}
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean recordRefusal() {
		this.refusedCount.incrementAndGet();
		return false;
	}

	private void process(Slot<E> slot, LongSupplier clock, DutyHandler<E> handler) {
		if (slot.isStopMarker()) {
			this.processor.halt();
			return;
		}
		try {
			handler.handle(slot.take(), clock.getAsLong());
		}
		catch (RuntimeException | OutOfMemoryError | StackOverflowError ex) {
			// The processor would end its thread, and nobody would handle the events.
			FailureLog.write("ring: duty " + this.name + " failed to handle an event; continuing with the next one",
					ex);
		}
	}

}
