package org.rattanhead.upstream.forward;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.AbortAttempt;
import org.rattanhead.decision.forward.AttemptContinued;
import org.rattanhead.decision.forward.CallInstance;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.GrantBytes;
import org.rattanhead.decision.forward.ReserveTicket;
import org.rattanhead.decision.forward.Ticket;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Grants and aborts while the ring of the duty is full.
 */
class FullRingTests {

	private static final int RING_SLOTS = 8;

	private final LargeAnswerServer server = new LargeAnswerServer();

	private final HttpClient caller = new HttpClient("test", 1);

	private final BlockingCodec codec = new BlockingCodec(this.server.address());

	private final AtomicLong receivedBytes = new AtomicLong();

	private final ForwardCallDuty duty = new ForwardCallDuty(this.caller, this.codec,
			(event, urgency) -> received(event), RING_SLOTS);

	FullRingTests() throws IOException {
	}

	/**
	 * Guards against an answer that stalls until its deadline, since its grant was
	 * refused by the full ring.
	 */
	@ParameterizedTest(name = "{0} windows granted")
	@ValueSource(ints = { 1, 3 })
	void grantReachesItsCall(int windows) throws Exception {
		startCallAndFillRing();
		for (int window = 0; window < windows; window++) {
			this.duty.grant(new GrantBytes(attempt(1), GrantBytes.WINDOW_BYTES));
		}
		this.codec.release.countDown();
		await(() -> this.receivedBytes.get() >= (windows + 1) * GrantBytes.WINDOW_BYTES);
	}

	/**
	 * Guards against an instance that works on for a caller that has left, since the
	 * abort was refused by the full ring.
	 */
	@ParameterizedTest(name = "ring of {0} slots")
	@ValueSource(ints = RING_SLOTS)
	void abortReachesItsCall(int slots) throws Exception {
		startCallAndFillRing();
		this.duty.abort(new AbortAttempt(attempt(1)));
		assertThat(this.server.firstEnd.get(5, TimeUnit.SECONDS)).isEqualTo("reset");
		assertThat(this.duty.duty().backlog()).isEqualTo(slots);
	}

	/**
	 * Guards against a call that is made for a caller that left before the start.
	 */
	@ParameterizedTest(name = "aborted while attempt {0} waits in the ring")
	@ValueSource(ints = { 3, 4 })
	void callAbortedBeforeItsStartIsNotMade(int number) throws Exception {
		call(2, BlockingCodec.BLOCKING);
		this.codec.blocked.await();
		call(3, "i");
		call(4, "i");
		this.duty.abort(new AbortAttempt(attempt(number)));
		this.codec.release.countDown();
		this.duty.close();
		await(() -> this.server.requests.get() == 2);
		assertThat(this.caller.openCalls()).isEqualTo(2);
	}

	private void startCallAndFillRing() throws InterruptedException {
		call(1, "i");
		await(() -> this.receivedBytes.get() >= GrantBytes.WINDOW_BYTES);
		call(2, BlockingCodec.BLOCKING);
		this.codec.blocked.await();
		while (this.duty.duty().refused() == 0) {
			this.duty.reserve(new ReserveTicket(new Ticket("t", attempt(2), "i", "127.0.0.1:1", 1), 1_000));
		}
	}

	private void call(int number, String instance) {
		ForwardRequest request = new ForwardRequest(attempt(number).request(), "a", "GET", "h", "/", "/", List.of(),
				Payload.EMPTY, OptionalLong.empty(), Optional.empty(), Optional.empty(), OptionalLong.empty(),
				Optional.empty(), 1, List.of());
		UpstreamInstance target = new UpstreamInstance(instance, "s", "127.0.0.1:1", "z", 8, false, 0, 1);
		this.duty.call(new CallInstance(
				new ForwardCall(attempt(number), request, target, "", 20_000, 5, List.of(), Optional.empty(), false),
				0));
	}

	private boolean received(ForwardEvent event) {
		if (event instanceof AttemptContinued part && part.attempt().equals(attempt(1))) {
			this.receivedBytes.addAndGet(part.bytes().length());
		}
		return true;
	}

	private static AttemptId attempt(int number) {
		return new AttemptId(new RequestId("r"), number);
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time at which the condition is still not met").isLessThan(deadlineNanos);
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	@AfterEach
	void close() throws IOException {
		this.codec.release.countDown();
		this.duty.close();
		this.caller.close();
		this.server.close();
	}

}
