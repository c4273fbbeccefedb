package org.rattanhead.decision.holder;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Digests are published within 100 ms of a change, and once a second without one.
 */
class DigestPublicationTests {

	@ParameterizedTest(name = "work every {0} ms")
	@CsvSource({ "0, 2, 3", "100, 18, 21", "1000, 2, 5" })
	void publishesDigestsAfterChangesAndOncePerSecond(int workMillis, int atLeast, int atMost) {
		HolderDecider decider = new HolderDecider("da");
		decider.decide(new HolderCatalogueChanged(Fixtures.view()), 0);
		decider.decide(new HolderMembersChanged(Fixtures.hosts(), Fixtures.noLeavingUpstreams()), 0);
		long published = IntStream.range(0, 80).mapToLong((tick) -> {
			long nowNanos = tick * 25 * Fixtures.MILLI;
			if (workMillis > 0 && tick * 25 % workMillis == 0) {
				decider.decide(new OrderReceived("db",
						new SubmitWork("e1", Fixtures.work("r" + tick, 0, 10, nowNanos + 100 * Fixtures.SECOND))),
						nowNanos);
			}
			List<HolderCommand> commands = decider.decide(new HolderTick(), nowNanos);
			return commands.stream().filter(PublishDigests.class::isInstance).count();
		}).sum();
		assertThat(published).isBetween((long) atLeast, (long) atMost);
	}

}
