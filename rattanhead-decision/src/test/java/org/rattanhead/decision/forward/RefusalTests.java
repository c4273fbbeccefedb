package org.rattanhead.decision.forward;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.ProblemKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which requests are refused at once, for loads that other daemons placed on instances
 * with 11 slots.
 */
class RefusalTests {

	// Guards against a request that waits until its deadline, and against the refusal of
	// one for which an instance has time, or while half of the slots are free.
	@ParameterizedTest(name = "{0}: {1} and {2} requests of {3} tokens: refused {4}")
	@CsvSource({ "/ask/, 0, 0, 3000, false", "/ask/, 11, 11, 3000, false", "/ask/, 15, 15, 3000, false",
			"/ask/, 21, 21, 3000, true", "/ask/, 60, 60, 3000, true", "/ask/, 60, 12, 3000, false",
			"/ask/, 60, 0, 3000, false", "/ask/, 5, 5, 900000, false", "/look/, 34, 34, 0, false",
			"/look/, 35, 35, 0, true", "/look/, 90, 34, 0, false", "/order/, 35, 40, 0, true" })
	void refusesWhatNoInstanceCanServe(String path, int first, int second, long tokens, boolean refused) {
		ForwardRig rig = ForwardRig.configured(2, 2);
		String kind = path.equals("/ask/") ? "e" : "o";
		rig.handle(new PeerLoadStarted("peer", load(kind + 0, first, tokens)));
		rig.handle(new PeerLoadStarted("peer", load(kind + 1, second, tokens)));
		rig.submit(path, path.equals("/ask/") ? 3_000 : 0, ForwardRig.KEY, 1);
		assertThat(rig.all(CallInstance.class)).hasSize(refused ? 0 : 1);
		assertThat(rig.all(RefuseRequest.class)).hasSize(refused ? 1 : 0)
			.allMatch((refusal) -> refusal.problem().kind() == ProblemKind.OVERLOADED
					&& refusal.problem().execution() == Execution.NOT_RUN);
		assertThat(rig.all(LogDecision.class)).filteredOn((line) -> line.decision().equals("no-capacity"))
			.hasSize(refused ? 1 : 0);
	}

	// Guards against a held prompt that waits until its deadline although the engines
	// have no time left for it.
	@ParameterizedTest(name = "{0} ms to read on each engine")
	@CsvSource({ "20000" })
	void refusesHeldPromptOnceItCannotBeServed(long readMillis) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		rig.handle(new PeerLoadStarted("peer", reading("p", 0)));
		rig.submit("/long/", 100_000, ForwardRig.KEY, 1);
		assertThat(rig.all(RefuseRequest.class)).isEmpty();
		assertThat(rig.all(CallInstance.class)).isEmpty();
		rig.handle(new PeerLoadStarted("peer", reading("q", readMillis)));
		rig.advance(20);
		assertThat(rig.last(RefuseRequest.class).problem().kind()).isEqualTo(ProblemKind.OVERLOADED);
	}

	// Guards against refusals in small fleets, which serve their callers as before.
	@ParameterizedTest(name = "{0} daemons, from {1}: refused {2}")
	@CsvSource({ "8, 17, false", "16, 17, false", "17, 17, true", "118, 17, true", "8, 8, true" })
	void refusesOnlyInLargeFleets(int fleet, int refuseFrom, boolean refused) {
		ForwardRig rig = new ForwardRig(new ForwardLimits(0.2, 100, 10_000, 20_000, 17, refuseFrom));
		rig.handle(new ConfigurationApplied(ForwardRig.configuration(1)));
		rig.handle(new InstancesChanged(List.of(ForwardRig.instance("e0", ForwardRig.ENGINES, 0, false))));
		rig.handle(new PeerCountChanged(1, fleet));
		rig.handle(new PeerLoadStarted("peer", load("e0", 60, 3_000)));
		rig.submit("/ask/", 3_000, ForwardRig.KEY, 1);
		assertThat(rig.all(RefuseRequest.class)).hasSize(refused ? 1 : 0);
	}

	private static List<LoadEntry> load(String instance, int count, long tokens) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new LoadEntry("p" + instance + "-" + index, instance, tokens, 0,
					instance.startsWith("e") ? 250 : 0, 1.2, 8_000))
			.toList();
	}

	private static List<LoadEntry> reading(String key, long readMillis) {
		return IntStream.range(0, 2 * 11)
			.mapToObj((index) -> new LoadEntry(key + index, "e" + index % 2, 3_000, readMillis / 11, 250, 1.2, 8_000))
			.toList();
	}

}
