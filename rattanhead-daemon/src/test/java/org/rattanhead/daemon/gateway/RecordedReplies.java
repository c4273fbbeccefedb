package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.decision.forward.AbortReply;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.RefuseRequest;
import org.rattanhead.http.forward.ForwardReplyWriter;

/**
 * Records the replies, and fails at one of their parts.
 */
final class RecordedReplies implements ForwardReplyWriter {

	final List<String> calls = new ArrayList<>();

	private final String failing;

	RecordedReplies(String failing) {
		this.failing = failing;
	}

	private void record(String call) {
		if (call.equals(this.failing)) {
			throw new IllegalStateException("expected by the test");
		}
		this.calls.add(call);
	}

	@Override
	public void begin(BeginReply command) {
		record("begin");
	}

	@Override
	public void write(ContinueReply command) {
		record("write");
	}

	@Override
	public void finish(FinishReply command) {
		record("finish");
	}

	@Override
	public void abort(AbortReply command) {
		record("abort");
	}

	@Override
	public void refuse(RefuseRequest command) {
		record("refuse");
	}

	@Override
	public void closeAfterAnswers() {
		record("close");
	}

}
