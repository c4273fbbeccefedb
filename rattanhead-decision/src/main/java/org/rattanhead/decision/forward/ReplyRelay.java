package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.Payload;
import org.rattanhead.core.PayloadBuffer;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.request.RequestId;

/**
 * Relays the responses to one request to its caller. A plain response is buffered until
 * it is complete; a stream is relayed event by event, starting with its first complete
 * event.
 */
final class ReplyRelay {

	/** A plain response above this size is relayed without buffering. */
	private static final int MAX_BUFFERED_BYTES = 256 * 1024;

	/** An event that exceeds this is taken for bytes without end. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private final RequestId request;

	private final EventSplitter splitter = new EventSplitter();

	private final ReplyFlow flow = new ReplyFlow();

	private final PayloadBuffer buffered = new PayloadBuffer();

	private ReplyMemory memory = new ReplyMemory(Long.MAX_VALUE);

	private long countedBytes;

	private AnswerHead head;

	private boolean started;

	private boolean streamed;

	ReplyRelay(RequestId request) {
		this.request = request;
	}

	/**
	 * Counts the bytes that this relay holds from now on.
	 * @param shared the memory of all replies
	 */
	void countIn(ReplyMemory shared) {
		this.memory = shared;
	}

	/**
	 * Ends the counting, since the request has ended.
	 */
	void release() {
		count(0);
		this.memory = new ReplyMemory(Long.MAX_VALUE);
	}

	/**
	 * Returns whether a part of the reply was sent to the caller.
	 * @return true if it was
	 */
	boolean started() {
		return this.started;
	}

	boolean streamed() {
		return this.streamed;
	}

	ReplyFlow flow() {
		return this.flow;
	}

	Optional<String> lastEventId() {
		return this.splitter.lastId();
	}

	void head(AnswerHead newHead) {
		this.buffered.clear();
		this.flow.attemptBegan();
		this.splitter.discardRemainder();
		countHeld();
		if (!this.started) {
			this.head = newHead;
			this.streamed = newHead.streamed();
		}
	}

	/**
	 * Relays a part of the response.
	 * @param bytes the part
	 * @param commands receives the resulting commands
	 * @return whether a plain part or at least one event arrived; an event that grows
	 * byte by byte is no progress
	 */
	boolean receive(Payload bytes, List<ForwardCommand> commands) {
		this.flow.received(bytes.length());
		boolean progress = relay(bytes, commands);
		countHeld();
		return progress;
	}

	private boolean relay(Payload bytes, List<ForwardCommand> commands) {
		if (this.streamed) {
			Optional<Payload> complete = this.splitter.feed(bytes);
			complete.ifPresent((events) -> send(events, commands));
			return complete.isPresent();
		}
		if (this.started) {
			send(bytes, commands);
			return true;
		}
		this.buffered.append(bytes);
		if (this.buffered.length() > this.memory.limit(MAX_BUFFERED_BYTES)) {
			send(this.buffered.take(this.buffered.length()), commands);
		}
		return true;
	}

	boolean eventOversized() {
		return this.splitter.remainingBytes() > this.memory.limit(MAX_EVENT_BYTES);
	}

	/**
	 * Counts bytes written to the connection of the caller.
	 * @param bytes the number of bytes
	 */
	void written(long bytes) {
		this.flow.written(bytes);
		countHeld();
	}

	/**
	 * Completes the reply.
	 * @param commands receives the resulting commands
	 * @return false if the stream ended inside an event
	 */
	boolean finish(List<ForwardCommand> commands) {
		if (this.streamed && this.splitter.insideEvent()) {
			return false;
		}
		if (!this.started) {
			commands.add(new BeginReply(this.request, this.head.status(), this.head.fields(), this.buffered.length()));
			this.started = true;
			commands.add(new ContinueReply(this.request, this.buffered.take(this.buffered.length())));
		}
		commands.add(new FinishReply(this.request));
		return true;
	}

	private void countHeld() {
		count(this.buffered.length() + this.splitter.remainingBytes() + this.flow.unwrittenBytes());
	}

	private void count(long heldBytes) {
		this.memory.add(heldBytes - this.countedBytes);
		this.countedBytes = heldBytes;
	}

	private void send(Payload bytes, List<ForwardCommand> commands) {
		if (!this.started) {
			commands
				.add(new BeginReply(this.request, this.head.status(), this.head.fields(), BeginReply.UNKNOWN_LENGTH));
			this.started = true;
		}
		this.flow.sent(bytes.length());
		commands.add(new ContinueReply(this.request, bytes));
	}

}
