package org.rattanhead.cli.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.ring.Ticker;

/**
 * Runs a load test: sends the requests of a plan. Requests are sent at their planned
 * times whether or not earlier ones were answered, and latency is measured from the
 * planned time.
 */
public final class LoadRun {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final long CALL_TIMEOUT_MILLIS = 600_000;

	private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

	private static final int IO_THREADS = 2;

	private final LoadPlan plan;

	private final LoadTarget target;

	private final HttpClient client;

	private final Queue<LoadOutcome> outcomes = new ConcurrentLinkedQueue<>();

	private final CountDownLatch allEnded;

	private final long startNanos = System.nanoTime();

	private LoadRun(LoadPlan plan, LoadTarget target, HttpClient client) {
		this.plan = plan;
		this.target = target;
		this.client = client;
		this.allEnded = new CountDownLatch(plan.requests().size());
	}

	/**
	 * Sends the requests of a plan and waits until all have ended.
	 * @param plan the requests and the times at which they are sent
	 * @param target the daemons and the model that receive the requests
	 * @param progress where progress lines are written
	 * @return the outcomes and the duration of the run
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static LoadResult run(LoadPlan plan, LoadTarget target, PrintStream progress) throws InterruptedException {
		try (HttpClient client = new HttpClient("load", IO_THREADS); Ticker ticker = new Ticker("load-ticker")) {
			LoadRun run = new LoadRun(plan, target, client);
			ticker.every(PROGRESS_INTERVAL_MILLIS, () -> run.showProgress(progress));
			run.send();
			run.allEnded.await();
			return run.result();
		}
	}

	private void send() throws InterruptedException {
		CountDownLatch pause = new CountDownLatch(1);
		for (PlannedRequest request : this.plan.requests()) {
			long dueNanos = this.startNanos + TimeUnit.MICROSECONDS.toNanos(request.atMicros());
			HttpCall call = createCall(request);
			long waitNanos = dueNanos - System.nanoTime();
			if (waitNanos > 0) {
				pause.await(waitNanos, TimeUnit.NANOSECONDS);
			}
			this.client.start(call, new LoadObserver(request, answerCheck(request), dueNanos, this::record));
		}
	}

	private HttpCall createCall(PlannedRequest request) {
		ObjectNode body = MAPPER.createObjectNode().put("model", this.target.model()).put("stream", true);
		body.put("max_tokens", request.outputTokens());
		body.putArray("messages").addObject().put("role", "user").put("content", this.plan.prompt(request));
		List<HttpField> fields = List.of(new HttpField("Content-Type", "application/json"),
				new HttpField("Authorization", "Bearer " + this.target.key()));
		return new HttpCall(this.target.addresses().get(request.number() % this.target.addresses().size()), "POST",
				"/v1/chat/completions", fields, Payload.of(body.toString()), CALL_TIMEOUT_MILLIS);
	}

	private AnswerCheck answerCheck(PlannedRequest request) {
		return this.target.verify() ? AnswerCheck.equalTo(this.plan.prompt(request), request.outputTokens())
				: AnswerCheck.acceptAll();
	}

	private void record(LoadOutcome outcome) {
		this.outcomes.add(outcome);
		this.allEnded.countDown();
	}

	private void showProgress(PrintStream progress) {
		progress.printf("%d of %d ended after %d s%n", this.outcomes.size(), this.plan.requests().size(),
				TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - this.startNanos));
	}

	private LoadResult result() {
		return new LoadResult(this.plan, new ArrayList<>(this.outcomes),
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos));
	}

}
