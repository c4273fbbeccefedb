package org.rattanhead.decision.forward;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.LoadEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The Retry-After of refused callers, for loads of a plain service with 11 slots on each
 * of two servers.
 */
class RetryTimingTests {

	// Guards against a constant delay in a shortage, and against a changed one without.
	@ParameterizedTest(name = "{0} calls on each server: {1} to {2} ms")
	@CsvSource({ "0, 300, 300", "11, 300, 300", "20, 300, 300", "66, 254, 404", "90, 363, 509" })
	void announcesWhenCapacityIsExpected(int calls, long least, long most) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		IntStream.range(0, 2)
			.forEach((server) -> rig.handle(new PeerLoadStarted("peer",
					IntStream.range(0, calls)
						.mapToObj((call) -> new LoadEntry("p" + server + "-" + call, "o" + server, 0, 0, 0, 1, 8_000))
						.toList())));
		rig.submit("/look/", 0, ForwardRig.KEY, 1);
		while (rig.all(RefuseRequest.class).isEmpty()) {
			rig.answer(rig.lastAttempt(), 503, AnswerVerdict.NOT_RUN, false);
		}
		assertThat(rig.last(RefuseRequest.class).problem().retryAfterMillis()).isBetween(least, most);
	}

	// Guards against a delay by capacity if no server is left, of which none is known.
	@ParameterizedTest(name = "no server is left: {0} ms")
	@CsvSource({ "300" })
	void keepsConstantWithoutInstances(long millis) {
		ForwardRig rig = ForwardRig.configured(0, 0);
		rig.handle(new InstancesChanged(List.of()));
		rig.submit("/look/", 0, ForwardRig.KEY, 1);
		assertThat(rig.last(RefuseRequest.class).problem().retryAfterMillis()).isEqualTo(millis);
	}

}
