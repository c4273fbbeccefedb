package org.rattanhead.ring;

import java.lang.invoke.VarHandle;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.RingBuffer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A consumer thread with a bounded ring buffer. Any thread may offer events; the thread
 * of the duty handles them in the order of the ring and blocks while the ring is empty.
 * Offering never blocks: a full ring refuses the event, except completions, which then
 * wait beside the ring. A failure of the handler, errors included, ends the handling of
 * that event only. If the thread ends without {@link #close()}, so does the process,
 * since nobody would handle what it accepts.
 *
 * @param <E> the type of the events
 */
public final class Duty<E> implements EventSink<E>, AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(Duty.class);

	private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

	/** The exit status of a process that lost the thread of a duty. */
	private static final int THREAD_LOST_STATUS = 70;

	private final String name;

	private final RingBuffer<Slot<E>> ring;

	private final Overflow<E> overflow = new Overflow<>();

	private final SlotConsumer<E> consumer;

	private final Thread thread;

	private final AtomicLong refusedCount = new AtomicLong();

	private volatile boolean stopping;

	/**
	 * Starts a duty.
	 * @param name the name of the duty and of its thread
	 * @param capacity the number of slots of the ring, a power of two
	 * @param clock the monotonic clock, in nanoseconds
	 * @param handler the handler of the events
	 */
	public Duty(String name, int capacity, LongSupplier clock, DutyHandler<E> handler) {
		this(name, capacity, clock, handler, () -> Runtime.getRuntime().halt(THREAD_LOST_STATUS));
	}

	/**
	 * Starts a duty.
	 * @param name the name of the duty and of its thread
	 * @param capacity the number of slots of the ring, a power of two
	 * @param clock the monotonic clock, in nanoseconds
	 * @param handler the handler of the events
	 * @param onThreadLost runs if the thread ends without {@link #close()}
	 */
	Duty(String name, int capacity, LongSupplier clock, DutyHandler<E> handler, Runnable onThreadLost) {
		this.name = name;
		this.ring = RingBuffer.createMultiProducer(Slot::new, capacity, new BlockingWaitStrategy());
		this.consumer = new SlotConsumer<>(this.ring, this.overflow, (event) -> handle(event, clock, handler));
		this.ring.addGatingSequences(this.consumer.handled());
		this.thread = new Thread(() -> run(onThreadLost), name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	@Override
	public boolean offer(E event, Urgency urgency) {
		if (urgency == Urgency.COMPLETION) {
			complete(event);
			return true;
		}
		if (!this.overflow.isEmpty()
				|| this.ring.remainingCapacity() <= urgency.reservedSlots(this.ring.getBufferSize())) {
			return recordRefusal();
		}
		return this.ring.tryPublishEvent((slot, sequence) -> slot.set(event)) || recordRefusal();
	}

	/**
	 * Returns the number of events in the ring, including the one being handled.
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
		this.stopping = true;
		if (!this.ring.tryPublishEvent((slot, sequence) -> slot.markStop())) {
			this.consumer.halt();
		}
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void complete(E event) {
		if (!this.overflow.isEmpty() || !this.ring.tryPublishEvent((slot, sequence) -> slot.set(event))) {
			this.overflow.add(event, this.ring.getCursor());
			VarHandle.fullFence();
			// An empty slot wakes a thread that has emptied the ring meanwhile. If there
			// is no room for it, the thread has slots to handle and looks after each.
			this.ring.tryPublishEvent((slot, sequence) -> slot.set(null));
		}
	}

	private void run(Runnable onThreadLost) {
		try {
			this.consumer.run();
		}
		catch (InterruptedException ex) {
			LOGGER.error("ring: the thread of duty {} was interrupted", this.name);
		}
		finally {
			if (!this.stopping) {
				onThreadLost.run();
			}
		}
	}

	private boolean recordRefusal() {
		this.refusedCount.incrementAndGet();
		return false;
	}

	private void handle(E event, LongSupplier clock, DutyHandler<E> handler) {
		try {
			handler.handle(event, clock.getAsLong());
		}
		catch (RuntimeException | Error ex) {
			logFailure(ex);
		}
	}

	private void logFailure(Throwable failure) {
		try {
			LOGGER.error("ring: duty {} failed to handle an event; continuing with the next one", this.name, failure);
		}
		catch (RuntimeException | Error ex) {
			// Without memory or stack for the log line, the thread still has to go on.
		}
	}

}
