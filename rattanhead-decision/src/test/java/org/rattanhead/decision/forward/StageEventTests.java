package org.rattanhead.decision.forward;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every event at every stage of a request.
 */
class StageEventTests {

	/** The first request of a rig. */
	private static final RequestId REQUEST = new RequestId("self-1");

	/** The deadline of the requests of a rig. */
	private static final long DEADLINE_MILLIS = 8_000;

	static Stream<Arguments> pairs() {
		return Arrays.stream(RequestProgress.values())
			.flatMap((stage) -> Arrays.stream(StageEvent.values())
				.flatMap((event) -> Stream.of(0, 450, 7_000).map((millis) -> Arguments.of(stage, event, millis))));
	}

	/**
	 * Guards against LOST and CONFIG: a request that no event answers any more, or only
	 * after its deadline.
	 */
	@ParameterizedTest(name = "{0}, {1} after {2} ms")
	@MethodSource("pairs")
	void endsWithOneFinalReplyByItsDeadline(RequestProgress stage, StageEvent event, long millis) {
		ForwardRig rig = ForwardRig.configured(RequestProgress.engines(stage), 2);
		stage.prepare(rig);
		rig.advance(millis);
		event.happen(rig, REQUEST);
		rig.advance(DEADLINE_MILLIS - millis);
		List<ForwardCommand> replies = rig.commands.stream().filter(StageEventTests::endsReply).toList();
		assertThat(replies).hasSize((event == StageEvent.CALLER_DISCONNECTED && !repliedBefore(rig)) ? 0 : 1);
		rig.handle(new ForwardCallerDisconnected(REQUEST));
		assertThat(rig.commands.stream().filter(StageEventTests::endsReply)).hasSameSizeAs(replies);
		rig.handle(new HeartbeatDue());
		assertThat(rig.last(PublishHeartbeat.class).load()).as("load of requests in progress").isEmpty();
	}

	private static boolean repliedBefore(ForwardRig rig) {
		return rig.all(LogDecision.class).stream().noneMatch((entry) -> entry.decision().equals("abandoned"));
	}

	private static boolean endsReply(ForwardCommand command) {
		return (command instanceof RefuseRequest refuse && refuse.request().equals(REQUEST))
				|| (command instanceof AbortReply abort && abort.request().equals(REQUEST))
				|| (command instanceof FinishReply finish && finish.request().equals(REQUEST));
	}

}
