package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.request.RequestId;

/**
 * Relays the responses to one request to its caller. A plain response is buffered until
 * it is complete; a stream is relayed event by event, starting with its first complete
 * event.
 */
final class ReplyRelay {

	/** A plain response above this size is relayed without buffering. */
	private static final int MAX_KEPT_BYTES = 256 * 1024;

	private static final long UNKNOWN_LENGTH = -1;

	private final RequestId request;

	private final EventSplitter splitter = new EventSplitter();

	private final List<Payload> kept = new ArrayList<>();

	private int keptBytes;

	private AnswerHead head;

	private boolean begun;

	private boolean streamed;

	ReplyRelay(RequestId request) {
		this.request = request;
	}

	/**
	 * Returns whether a part of the reply was sent to the caller.
	 * @return true if it was
	 */
	boolean begun() {
		return this.begun;
	}

	boolean streamed() {
		return this.streamed;
	}

	Optional<String> lastEventId() {
		return this.splitter.lastId();
	}

	void head(AnswerHead newHead) {
		this.kept.clear();
		this.keptBytes = 0;
		this.splitter.restart();
		if (!this.begun) {
			this.head = newHead;
			this.streamed = newHead.streamed();
		}
	}

	void receive(Payload bytes, List<ForwardCommand> commands) {
		if (this.streamed) {
			this.splitter.feed(bytes).ifPresent((whole) -> pass(whole, commands));
			return;
		}
		if (this.begun) {
			commands.add(new ContinueReply(this.request, bytes));
			return;
		}
		this.kept.add(bytes);
		this.keptBytes += bytes.length();
		if (this.keptBytes > MAX_KEPT_BYTES) {
			pass(Payload.join(this.kept), commands);
		}
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
		if (!this.begun) {
			this.begun = true;
			commands.add(new BeginReply(this.request, this.head.status(), this.head.fields(), this.keptBytes));
			commands.add(new ContinueReply(this.request, Payload.join(this.kept)));
		}
		commands.add(new FinishReply(this.request));
		return true;
	}

	private void pass(Payload bytes, List<ForwardCommand> commands) {
		if (!this.begun) {
			this.begun = true;
			commands.add(new BeginReply(this.request, this.head.status(), this.head.fields(), UNKNOWN_LENGTH));
		}
		commands.add(new ContinueReply(this.request, bytes));
	}

}
