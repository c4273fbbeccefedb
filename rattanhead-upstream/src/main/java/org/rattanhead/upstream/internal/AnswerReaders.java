package org.rattanhead.upstream.internal;

import org.rattanhead.client.HttpHead;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.WorkStarted;

/**
 * Selects the reader of an answer by its head.
 */
final class AnswerReaders {

	private static final int OK = 200;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private static final String EVENT_STREAM = "text/event-stream";

	private AnswerReaders() {
	}

	static AnswerReader of(UpstreamEntry upstream, Work work, HttpHead head) throws InvalidAnswerException {
		checkEcho(upstream, work, head);
		String contentType = head.field("Content-Type");
		WorkStarted start = new WorkStarted(work.attempt(), upstream.name(), head.status(), contentType);
		if (!upstream.engine()) {
			return new BufferingReader(start, false);
		}
		if (head.status() == TOO_MANY_REQUESTS || head.status() == UNAVAILABLE) {
			return new ErrorAnswerReader(work.attempt(), Problem.notRun(ProblemKind.OVERLOADED,
					"Upstream '" + upstream.name() + "' refused the call with status " + head.status() + "."));
		}
		if (head.status() >= SERVER_ERROR) {
			return new ErrorAnswerReader(work.attempt(), Problem.failed(ProblemKind.UPSTREAM_FAILED,
					"Upstream '" + upstream.name() + "' answered with status " + head.status() + "."));
		}
		return contentType.startsWith(EVENT_STREAM) ? new EventStreamReader(start)
				: new BufferingReader(start, head.status() == OK);
	}

	private static void checkEcho(UpstreamEntry upstream, Work work, HttpHead head) throws InvalidAnswerException {
		String echo = head.field(CallHeaders.ATTEMPT);
		boolean required = upstream.engine() || !echo.isEmpty();
		if (required && !echo.equals(work.attempt().toString())) {
			throw new InvalidAnswerException("the answer names attempt '" + echo + "', expected " + work.attempt(),
					true);
		}
	}

}
