package org.rattanhead.decision.forward;

import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.problem.Execution;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests at a daemon that has lost its links to all instances.
 */
class RelayTests {

	private final ForwardRig rig = ForwardRig.configured(4, 6);

	/** Guards against RECOVER: callers of a stranded daemon that are not served. */
	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "/order/", "/look/", "/ask/" })
	void passesRequestsOnWithTheRemainingTime(String path) {
		strand();
		this.rig.submit(path);
		CallInstance call = this.rig.lastCall();
		assertThat(call.call().relayed()).isTrue();
		assertThat(call.call().instance().address()).startsWith("10.9.0.");
		assertThat(call.call().remainingMillis()).isBetween(7_900L, 8_000L);
		assertThat(this.rig.all(PublishLoadStarted.class).stream().filter((load) -> load.entries().isEmpty()))
			.isEmpty();
	}

	/**
	 * Guards against an answer that is changed on the way, and against a refusal that
	 * multiplies as it is repeated at each daemon.
	 */
	@ParameterizedTest(name = "{0}, status {1}")
	@CsvSource({ "/order/, 200", "/order/, 503", "/look/, 200", "/look/, 503", "/look/, 502", "/look/, 404" })
	void relaysTheAnswerUnchanged(String path, int status) {
		strand();
		this.rig.submit(path);
		this.rig.answer(this.rig.lastAttempt(), status, AnswerVerdict.RUN, false);
		this.rig.bytes(this.rig.lastAttempt(), "whole");
		this.rig.finish(this.rig.lastAttempt());
		assertThat(this.rig.last(BeginReply.class).status()).isEqualTo(status);
		assertThat(this.rig.replied()).isEqualTo("whole");
		assertThat(relayed()).isEqualTo(1);
	}

	/** Guards against a request that runs twice, or is lost with the other daemon. */
	@ParameterizedTest(name = "{0} fails with {1}: {2} daemons called, then {3}")
	@CsvSource({ "/order/, NOT_SENT, 3, NOT_RUN", "/order/, BROKEN, 1, UNKNOWN", "/look/, NOT_SENT, 3, NOT_RUN",
			"/look/, BROKEN, 2, FAILED" })
	void triesAnotherDaemonOnlyIfItIsSafe(String path, AttemptFault fault, int daemons, Execution execution) {
		strand();
		this.rig.submit(path);
		for (int call = 0; call < 5 && this.rig.all(RefuseRequest.class).isEmpty(); call++) {
			this.rig.failAttempt(this.rig.lastAttempt(), fault);
		}
		assertThat(relayed()).isEqualTo(daemons);
		assertThat(this.rig.last(RefuseRequest.class).problem().execution()).isEqualTo(execution);
	}

	/** Guards against requests that go to and fro between stranded daemons. */
	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "/order/", "/look/" })
	void refusesAtOnceWhatWasPassedOnToIt(String path) {
		strand();
		this.rig.submitViaPeer(path);
		assertThat(relayed()).isZero();
		assertThat(this.rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
		assertThat(this.rig.last(RefuseRequest.class).problem().retryAfterMillis()).isPositive();
	}

	/** Guards against requests that are passed on although instances can be reached. */
	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "/order/", "/look/", "/ask/" })
	void placesRequestsOfItsOwnAndOfOthersWhileItReachesInstances(String path) {
		peersReport();
		this.rig.submit(path);
		this.rig.submitViaPeer(path);
		assertThat(this.rig.all(CallInstance.class)).hasSize(2).noneMatch((call) -> call.call().relayed());
	}

	/** Guards against work that goes on after its caller has left. */
	@ParameterizedTest(name = "answer begun {0}")
	@ValueSource(booleans = { false, true })
	void abortsWhenTheCallerLeaves(boolean begun) {
		strand();
		var request = this.rig.submit("/ask/");
		if (begun) {
			this.rig.startAnswer(this.rig.lastAttempt());
		}
		this.rig.handle(new ForwardCallerDisconnected(request));
		assertThat(this.rig.last(AbortAttempt.class).attempt()).isEqualTo(this.rig.lastAttempt());
	}

	/** Guards against a request that waits until the daemon is known to be stranded. */
	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "/order/", "/look/" })
	void passesOnWhatCouldNotBeSentInASilence(String path) {
		peersReport();
		this.rig.advance(400);
		this.rig.submit(path);
		this.rig.failAttempt(this.rig.lastAttempt(), AttemptFault.NOT_SENT);
		assertThat(this.rig.lastCall().call().relayed()).isTrue();
	}

	private long relayed() {
		return this.rig.all(CallInstance.class).stream().filter((call) -> call.call().relayed()).count();
	}

	private void strand() {
		this.rig.submit("/order/");
		this.rig.failAttempt(this.rig.lastAttempt(), AttemptFault.NOT_SENT);
		this.rig.advance(20);
		this.rig.all(ProbeInstance.class)
			.forEach((probe) -> this.rig.handle(new InstanceProbed(probe.instance().id(), false)));
		peersReport();
		assertThat(this.rig.last(PublishReach.class).stranded()).isTrue();
		this.rig.commands.clear();
	}

	private void peersReport() {
		for (int peer = 0; peer < 3; peer++) {
			this.rig
				.handle(new PeerContactReported("peer-" + peer, "10.9.0." + peer + ":99", true, OptionalLong.of(0)));
		}
	}

}
