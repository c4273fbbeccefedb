package org.rattanhead.server;

import java.util.concurrent.Executor;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.Payload;
import org.rattanhead.core.PayloadBuffer;
import org.rattanhead.core.TurnQueue;

/**
 * Hands a response from any thread to the I/O thread of its connection. However many
 * parts are added, at most one task per response waits on the I/O thread, which takes all
 * parts at once, and a large response leaves turns to others. The parts that wait are
 * bounded: a response that exceeds the bound is aborted.
 */
public final class ResponseOutbox {

	private static final Logger LOGGER = LogManager.getLogger(ResponseOutbox.class);

	private static final int MAX_WAITING_BYTES = 64 * 1024 * 1024;

	/** After this many bytes at once, the next ones wait for a turn. */
	private static final int BULK_BYTES = 32 * 1024;

	private static final Runnable NOTHING = () -> {
	};

	private final Executor ioThread;

	private final ResponseWriter writer;

	private final TurnQueue turns;

	private Runnable head = NOTHING;

	private final PayloadBuffer body = new PayloadBuffer();

	private Runnable end = NOTHING;

	private boolean scheduled;

	/**
	 * Creates the outbox of one response.
	 * @param ioThread runs tasks on the I/O thread, in order
	 * @param writer writes the response
	 * @param turns the turns of the responses on the same I/O thread
	 */
	public ResponseOutbox(Executor ioThread, ResponseWriter writer, TurnQueue turns) {
		this.ioThread = ioThread;
		this.writer = writer;
		this.turns = turns;
	}

	/**
	 * Adds an action that runs before the body is written.
	 * @param action the action
	 */
	public void begin(Runnable action) {
		synchronized (this) {
			this.head = action;
		}
		schedule();
	}

	/**
	 * Adds a part of the body.
	 * @param bytes the part
	 */
	public void write(Payload bytes) {
		synchronized (this) {
			if (this.body.length() + bytes.length() > MAX_WAITING_BYTES) {
				this.end = this.writer::abort;
			}
			else {
				this.body.append(bytes);
			}
		}
		schedule();
	}

	/**
	 * Adds an action that runs after the body is handed to the writer, which is the last.
	 * @param action the action
	 */
	public void end(Runnable action) {
		synchronized (this) {
			if (this.end == NOTHING) {
				this.end = action;
			}
		}
		schedule();
	}

	private void schedule() {
		synchronized (this) {
			if (this.scheduled) {
				return;
			}
			this.scheduled = true;
		}
		this.ioThread.execute(this::run);
	}

	private void run() {
		Runnable newHead;
		Payload newBody;
		Runnable newEnd;
		boolean bulk;
		synchronized (this) {
			bulk = this.body.length() >= BULK_BYTES;
			this.scheduled = bulk;
			newHead = this.head;
			newBody = this.body.take(this.body.length());
			newEnd = this.end;
			this.head = NOTHING;
			this.end = NOTHING;
		}
		try {
			newHead.run();
			if (newBody.length() > 0) {
				this.writer.write(newBody);
			}
			newEnd.run();
		}
		catch (RuntimeException | Error ex) {
			this.writer.fail();
			LOGGER.error("server: a response cannot be written; its caller gets status 500 or a closed connection", ex);
		}
		if (bulk) {
			this.turns.add(this::run);
		}
	}

}
