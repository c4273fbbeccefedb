package org.rattanhead.decision.forward;

import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Instances that say in an answer that they leave, or that they want no requests for a
 * time.
 */
class ServerNoticeTests {

	private static final ServerNotice LEAVING = new ServerNotice(true, 0);

	private static final int CALLS = 30;

	/** Guards against DRAIN: new work for an instance that has said that it leaves. */
	@ParameterizedTest
	@EnumSource
	void sendsNoNewWorkToLeavingInstance(StoreEntry later) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.handle(new InstanceNoticed("o0", OptionalLong.of(1), LEAVING));
		later.apply(rig);
		for (int call = 0; call < CALLS; call++) {
			rig.submit((call % 2 == 0) ? "/look/" : "/order/");
			rig.advance(20);
		}
		assertThat(rig.all(CallInstance.class).stream().anyMatch(ServerNoticeTests::toFirst))
			.isEqualTo(later.restarted());
		assertThat(rig.all(LogDecision.class)).filteredOn((entry) -> entry.decision().equals("instance-leaving"))
			.hasSize(1);
	}

	/** Guards against DRAIN: a retry or resumption on a leaving instance. */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "/look/, o0", "/ask/, e0" })
	void retriesOnOtherInstances(String path, String leaving) {
		ForwardRig rig = ForwardRig.configured(3, 3);
		for (int call = 0; call < 9; call++) {
			rig.submit(path, path.equals("/ask/") ? 5_000 : 0, ForwardRig.KEY, call);
		}
		List<CallInstance> before = rig.all(CallInstance.class);
		rig.handle(new InstanceNoticed(leaving, OptionalLong.of(1), LEAVING));
		before.forEach((call) -> rig.failAttempt(call.call().attempt(), AttemptFault.BROKEN));
		assertThat(rig.all(CallInstance.class).subList(before.size(), rig.all(CallInstance.class).size())).isNotEmpty()
			.noneMatch((call) -> call.call().instance().id().equals(leaving));
	}

	/** Guards against answers that are cut because their instance leaves. */
	@ParameterizedTest
	@EnumSource(StoreEntry.class)
	void endsRunningAnswersOfLeavingInstance(StoreEntry later) {
		ForwardRig rig = ForwardRig.configured(1, 0);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		rig.startAnswer(rig.lastAttempt());
		rig.handle(new InstanceNoticed("e0", OptionalLong.of(1), LEAVING));
		later.apply(rig);
		rig.bytes(rig.lastAttempt(), "id: 2\ndata: b\n\n");
		rig.finish(rig.lastAttempt());
		assertThat(rig.all(FinishReply.class)).hasSize(1);
	}

	/** Guards against BUDGET: requests to an instance within the time it asked for. */
	@ParameterizedTest(name = "{0} ms")
	@ValueSource(longs = { 700, 3_000, 20_000 })
	void sendsNothingToQuietInstance(long quietMillis) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.handle(new InstanceNoticed("o0", OptionalLong.of(1), new ServerNotice(false, quietMillis)));
		for (long elapsed = 0; elapsed < quietMillis - 20; elapsed += 20) {
			answer(rig, rig.submit("/look/"));
			rig.advance(20);
		}
		assertThat(rig.all(CallInstance.class)).noneMatch(ServerNoticeTests::toFirst);
		rig.advance(quietMillis / 8 + 20);
		for (int call = 0; call < CALLS; call++) {
			answer(rig, rig.submit("/look/"));
			rig.advance(20);
		}
		assertThat(rig.all(CallInstance.class)).anyMatch(ServerNoticeTests::toFirst);
	}

	@ParameterizedTest(name = "leaving: {0}, quiet for {1} ms, {2} instances")
	@CsvSource({ "true, 0, 2", "false, 700, 2", "false, 3000, 2", "false, 3000, 1" })
	void heedsNoticeOfPeer(boolean leaving, long quietMillis, int instances) {
		ForwardRig rig = ForwardRig.configured(0, instances);
		rig.handle(new PeerNoticeReceived("o0", 1, new ServerNotice(leaving, quietMillis)));
		for (int call = 0; call < 10; call++) {
			answer(rig, rig.submit("/look/"));
		}
		boolean onlyOne = instances == 1;
		assertThat(rig.all(CallInstance.class)).as("a peer's quiet time does not bind, but is heeded")
			.hasSize(10)
			.allMatch((call) -> toFirst(call) == onlyOne);
		assertThat(rig.all(PublishNotice.class)).isEmpty();
	}

	/** Guards against a datagram for each answer of an instance that leaves. */
	@ParameterizedTest(name = "{0} answers")
	@ValueSource(ints = { 1, 50 })
	void tellsPeersOnce(int answers) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		for (int answer = 0; answer < answers; answer++) {
			rig.handle(new InstanceNoticed("o0", OptionalLong.of(1), LEAVING));
		}
		assertThat(rig.all(PublishNotice.class)).hasSize(1);
	}

	/** Guards against a quiet time that ends with all waiting work at once. */
	@ParameterizedTest(name = "{0} requests")
	@ValueSource(ints = { 5, 30 })
	void rampsUpAfterQuietTime(int requests) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.handle(new InstanceNoticed("o0", OptionalLong.of(1), new ServerNotice(false, 1_000)));
		rig.advance(1_200);
		for (int call = 0; call < requests; call++) {
			rig.submit("/look/");
		}
		assertThat(rig.all(CallInstance.class).stream().filter(ServerNoticeTests::toFirst).count())
			.isLessThanOrEqualTo(1);
	}

	/** Guards against callers that wait although every instance wants no requests. */
	@ParameterizedTest(name = "{0} and {1} ms: Retry-After {2} to {3} ms")
	@CsvSource({ "3000, 700, 700, 800", "20000, 3000, 3000, 3400", "700, 700, 700, 800" })
	void refusesAtOnceWhileAllInstancesAreQuiet(long first, long second, long least, long most) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.handle(new InstanceNoticed("o0", OptionalLong.of(1), new ServerNotice(false, first)));
		rig.handle(new InstanceNoticed("o1", OptionalLong.of(1), new ServerNotice(false, second)));
		rig.submit("/order/");
		RefuseRequest refusal = rig.last(RefuseRequest.class);
		assertThat(refusal.problem().execution()).isEqualTo(Execution.NOT_RUN);
		assertThat(refusal.problem().kind().status()).isEqualTo(503);
		assertThat(refusal.problem().retryAfterMillis()).isBetween(least, most);
	}

	/** Guards against BUDGET: orders for memory at an instance that wants no requests. */
	@ParameterizedTest(name = "{0} ms")
	@ValueSource(longs = { 3_000, 20_000 })
	void sendsNoOrdersToQuietInstance(long quietMillis) {
		ForwardRig rig = ForwardRig.configured(16, 0);
		rig.submit("/long/", 900_000, ForwardRig.KEY, 1);
		ReserveTicket reserved = rig.last(ReserveTicket.class);
		rig.handle(new InstanceNoticed(reserved.ticket().instance(), OptionalLong.empty(),
				new ServerNotice(false, quietMillis)));
		rig.commands.clear();
		rig.advance(2_500);
		assertThat(rig.all(ReserveTicket.class))
			.noneMatch((order) -> order.ticket().instance().equals(reserved.ticket().instance()));
		assertThat(rig.all(ReleaseTicket.class))
			.noneMatch((order) -> order.ticket().instance().equals(reserved.ticket().instance()));
	}

	private static void answer(ForwardRig rig, RequestId request) {
		if (rig.lastAttempt().request().equals(request)) {
			rig.answer(rig.lastAttempt(), 200, AnswerVerdict.RUN, false);
			rig.finish(rig.lastAttempt());
		}
	}

	private static boolean toFirst(CallInstance call) {
		return call.call().instance().id().equals("o0");
	}

}
