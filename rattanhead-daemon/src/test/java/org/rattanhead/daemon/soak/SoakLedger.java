package org.rattanhead.daemon.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.random.RandomGenerator;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

/**
 * Records the runs at instances and the answers to callers, and checks the guarantees
 * that relate them.
 */
final class SoakLedger {

	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	private static final String REPORT_PATH = "/rattanhead/report";

	private static final int OK = 200;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int MAX_DELAY_MILLIS = 120;

	private static final int MISSING_BYTES = 3;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Queue<SoakOutcome> outcomes = new ConcurrentLinkedQueue<>();

	private final Queue<String> headerViolations = new ConcurrentLinkedQueue<>();

	/**
	 * Answers a request. Randomly refuses the request, truncates the answer, closes the
	 * connection, delays the answer or sends surplus bytes. Also checks the identity
	 * headers.
	 * @param request the request
	 * @param random the source of the failures
	 * @param notice a header field in which the instance speaks of itself, empty if none
	 * @return the answer
	 */
	RawAnswer serve(RawRequest request, RandomGenerator random, String notice) {
		String attempt = request.header("X-Attempt-Id");
		if (!hasExpectedIdentity(request)) {
			this.headerViolations.add(attempt + " " + request.target()
					+ ": reached an instance with a wrong workspace or with the key of the caller");
		}
		int draw = random.nextInt(100);
		if (draw < 5 || notice.startsWith("Retry-After")) {
			return RawAnswer.of(503, fields(notice, "X-Attempt-Id: " + attempt, "X-Not-Executed: 1"), "");
		}
		this.runs.merge(attempt, 1, Integer::sum);
		RawAnswer complete = RawAnswer
			.of(OK, fields(notice, "X-Attempt-Id: " + attempt, "X-Response-Signature: s"), body(attempt))
			.delayedBy(random.nextInt(MAX_DELAY_MILLIS));
		if (draw < 10) {
			return complete.truncated(MISSING_BYTES);
		}
		if (draw < 13) {
			return RawAnswer.connectionClose();
		}
		return (draw < 16) ? complete.followedBy("HTTP/1.1 200 Status\r\nContent-Length: 1\r\n\r\nx") : complete;
	}

	private static boolean hasExpectedIdentity(RawRequest request) {
		// Gateways read the report on their own behalf, so it names no workspace.
		boolean report = request.target().equals(REPORT_PATH);
		return request.header("X-Tenant").equals(report ? "" : "atelier")
				&& request.header("X-Attempt-Id").isEmpty() == report && request.header("Authorization").isEmpty();
	}

	private static List<String> fields(String notice, String... fields) {
		List<String> all = new ArrayList<>(List.of(fields));
		if (!notice.isEmpty()) {
			all.add(notice);
		}
		return all;
	}

	void record(SoakOutcome outcome) {
		this.outcomes.add(outcome);
	}

	long answeredCount() {
		return this.outcomes.stream().filter((outcome) -> outcome.status() == OK).count();
	}

	int requestCount() {
		return this.outcomes.size();
	}

	/**
	 * Lists the violated guarantees.
	 * @return one message per violation, empty if there are none
	 */
	List<String> violations() {
		List<String> violations = new ArrayList<>(this.headerViolations);
		for (SoakOutcome outcome : this.outcomes) {
			int runCount = this.runs.getOrDefault(outcome.attempt(), 0);
			boolean nonIdempotent = outcome.path().startsWith("/order/");
			if (nonIdempotent && runCount > 1) {
				violations.add(outcome.attempt() + ": ran " + runCount + " times");
			}
			if (nonIdempotent && runCount > 0 && NOT_RUN_STATUSES.contains(outcome.status())) {
				violations
					.add(outcome.attempt() + ": ran, but was answered as not run, with status " + outcome.status());
			}
			if (outcome.status() == OK && !outcome.answer().endsWith("\r\n\r\n" + body(outcome.attempt()))) {
				violations.add(outcome.attempt() + ": got a wrong answer: " + outcome.answer());
			}
			if (outcome.status() >= OK && outcome.status() < FIRST_SERVER_ERROR && outcome.status() != OK
					&& !NOT_RUN_STATUSES.contains(outcome.status())) {
				violations.add(outcome.attempt() + ": got unexpected status " + outcome.status());
			}
		}
		return violations;
	}

	private static String body(String attempt) {
		return "whole answer of " + attempt;
	}

}
