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
import org.rattanhead.daemon.gateway.GatewayRig;

/**
 * What instances ran and what callers saw, and the promises that both must keep.
 */
final class SoakLedger {

	private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

	private static final int OK = 200;

	private static final int SERVER_ERROR = 500;

	private static final int LATE_MILLIS = 120;

	private static final int TORN_BYTES = 3;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Queue<SoakOutcome> outcomes = new ConcurrentLinkedQueue<>();

	private final Queue<String> broken = new ConcurrentLinkedQueue<>();

	/**
	 * Answers a request as an instance that now and then fails.
	 * @param request the request
	 * @param random decides how it fails
	 * @return the answer
	 */
	RawAnswer serve(RawRequest request, RandomGenerator random) {
		String attempt = request.header("X-Attempt-Id");
		if (!request.header("X-Tenant").equals("atelier") || !request.header("Authorization").isEmpty()) {
			this.broken.add(attempt + ": the workspace is wrong, or the key was passed on");
		}
		int kind = random.nextInt(100);
		if (kind < 5) {
			return RawAnswer.of(503, List.of("X-Attempt-Id: " + attempt, "X-Not-Executed: 1"), "");
		}
		this.runs.merge(attempt, 1, Integer::sum);
		RawAnswer whole = GatewayRig.signed(request, body(attempt)).delayedBy(random.nextInt(LATE_MILLIS));
		if (kind < 10) {
			return whole.truncated(TORN_BYTES);
		}
		if (kind < 13) {
			return RawAnswer.connectionClose();
		}
		return (kind < 16) ? whole.followedBy("HTTP/1.1 200 Status\r\nContent-Length: 1\r\n\r\nx") : whole;
	}

	void saw(SoakOutcome outcome) {
		this.outcomes.add(outcome);
	}

	long answered() {
		return this.outcomes.stream().filter((outcome) -> outcome.status() == OK).count();
	}

	int asked() {
		return this.outcomes.size();
	}

	/**
	 * Lists the broken promises.
	 * @return a line for each
	 */
	List<String> brokenPromises() {
		List<String> found = new ArrayList<>(this.broken);
		for (SoakOutcome outcome : this.outcomes) {
			int ran = this.runs.getOrDefault(outcome.attempt(), 0);
			boolean once = outcome.path().startsWith("/order/");
			if (once && ran > 1) {
				found.add(outcome.attempt() + ": ran " + ran + " times");
			}
			if (once && ran > 0 && NOT_RUN.contains(outcome.status())) {
				found.add(outcome.attempt() + ": was told that it had not run, with " + outcome.status());
			}
			if (outcome.status() == OK && !outcome.answer().endsWith("\r\n\r\n" + body(outcome.attempt()))) {
				found.add(outcome.attempt() + ": got another answer: " + outcome.answer());
			}
			if (outcome.status() >= OK && outcome.status() < SERVER_ERROR && outcome.status() != OK
					&& !NOT_RUN.contains(outcome.status())) {
				found.add(outcome.attempt() + ": was denied with " + outcome.status());
			}
		}
		return found;
	}

	private static String body(String attempt) {
		return "whole answer of " + attempt;
	}

}
