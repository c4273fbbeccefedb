package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.decision.rank.RequestRank;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The use of ranks by the decider. Guards against ranks that change anything in a
 * deployment with one rank, and against requests of several ranks that are treated alike.
 */
class RankUseTests {

	private static final int ENGINES = 6;

	private static final List<String> PATHS = List.of("/short/", "/medium/", "/long/");

	private static final List<Long> TOKENS = List.of(5_000L, 45_000L, 150_000L);

	@ParameterizedTest(name = "rank {0} instead of 0")
	@ValueSource(ints = { 0, 1, 7 })
	void givesTheSameCommandsWhateverTheOnlyRankIs(int rank) {
		List<ForwardCommand> commands = randomSchedule(rank, rank, rank);
		assertThat(commands).isEqualTo(randomSchedule(0, 0, 0)).isNotEqualTo(randomSchedule(0, 1, 2));
		assertThat(commands).filteredOn(CallInstance.class::isInstance)
			.hasSizeGreaterThan(100)
			.allMatch((command) -> List.of(2, 6, 8).contains(((CallInstance) command).call().urgency()));
	}

	@ParameterizedTest(name = "{0}: urgency {1}, worth {2}, rank {3}")
	@CsvSource({ "0, 0, 1.425, 0", "1, 5, 3.2125, 1", "2, 8, 4.8875, 2" })
	void sendsUrgencyAndWorthByRank(int kind, int urgency, double worth, String rank) {
		ForwardRig rig = rig(0, 1, 2);
		rig.submit(PATHS.get(kind), TOKENS.get(kind), RankedConfiguration.LARGE_KEY, 1);
		assertThat(rig.lastCall().call().urgency()).isEqualTo(urgency);
		assertThat(rig.last(PublishLoadStarted.class).entries().get(0).worth()).isEqualTo(worth);
		rig.startAnswer(rig.lastAttempt());
		rig.finish(rig.lastAttempt());
		assertThat(rig.all(LogDecision.class)).filteredOn((line) -> line.decision().matches("place|answered"))
			.hasSize(2)
			.allMatch((line) -> line.inputs().contains(DecisionInput.of("rank", rank)));
	}

	@ParameterizedTest(name = "rank {0}, {1} and {2} wait: {3} is sent first")
	@CsvSource({ "2, 1, 0, 2", "0, 0, 0, 0", "2, 2, 1, 2", "1, 0, 1, 1" })
	void dispatchesHeldPromptsByRank(int first, int second, int third, int expected) {
		ForwardRig rig = rig(first, second, third);
		List<LoadEntry> load = IntStream.range(0, ENGINES)
			.mapToObj((index) -> new LoadEntry("p" + index, "e" + index, 1_000, 9_000, 0, 0, 15_000))
			.toList();
		rig.handle(new PeerLoadStarted("peer", load));
		PATHS.forEach((path) -> {
			rig.submit(path, 150_000, RankedConfiguration.LARGE_KEY, 1);
			assertThat(rig.all(CallInstance.class)).isEmpty();
		});
		rig.handle(new PeerLoadEnded("peer", load.stream().map(LoadEntry::key).toList()));
		rig.advance(20);
		ForwardCall call = rig.all(CallInstance.class).get(0).call();
		assertThat(call.request().path()).startsWith(PATHS.get(expected));
	}

	@ParameterizedTest(name = "position {0} of {1} ranks, worth {2}: {3} of 100 retries")
	@CsvSource({ "0, 1, 1.4, 70", "0, 1, 20, 90", "0, 3, 1.4, 90", "1, 3, 20, 70", "2, 3, 20, 50", "9, 10, 20, 30" })
	void leavesRetriesToMoreUrgentRanks(int position, int ranks, double worth, int allowed) {
		RetryBudget budget = new RetryBudget(new ForwardLimits(0.2, 100, 10_000, 1));
		int retries = 0;
		while (budget.allows("s", worth, new RequestRank(position, position, ranks), 0)) {
			budget.retry("s", 0);
			retries++;
		}
		assertThat(retries).isEqualTo(allowed);
	}

	private static ForwardRig rig(int shortRank, int mediumRank, int longRank) {
		ForwardRig rig = new ForwardRig();
		rig.handle(new ConfigurationApplied(RankedConfiguration.of(shortRank, mediumRank, longRank)));
		rig.handle(new InstancesChanged(ForwardRig.instances(ENGINES, 0)));
		return rig.advance(2_000);
	}

	private static List<ForwardCommand> randomSchedule(int shortRank, int mediumRank, int longRank) {
		ForwardRig rig = rig(shortRank, mediumRank, longRank);
		rig.submit(PATHS.get(0), TOKENS.get(0), RankedConfiguration.LARGE_KEY, 0);
		Random random = new Random(5);
		for (int step = 0; step < 800; step++) {
			int kind = random.nextInt(PATHS.size());
			switch (random.nextInt(6)) {
				case 0, 1, 2 -> rig.submit(PATHS.get(kind), TOKENS.get(kind), RankedConfiguration.LARGE_KEY, step);
				case 3 -> rig.advance(random.nextInt(400));
				case 4 -> rig.answer(rig.lastAttempt(), 503, AnswerVerdict.NOT_RUN, false);
				default -> rig.failAttempt(rig.lastAttempt(), AttemptFault.BROKEN);
			}
			if (step % 3 == 0) {
				rig.startAnswer(rig.lastAttempt());
				rig.finish(rig.lastAttempt());
			}
		}
		return rig.commands;
	}

}
