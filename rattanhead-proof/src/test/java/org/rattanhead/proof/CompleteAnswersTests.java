package org.rattanhead.proof;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.cli.load.LoadOutcome;
import org.rattanhead.cli.load.LoadPlan;
import org.rattanhead.cli.load.LoadResult;
import org.rattanhead.cli.load.LoadRun;
import org.rattanhead.cli.load.LoadTarget;
import org.rattanhead.cli.load.PlannedRequest;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.standin.engine.EngineFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every caller receives the complete answer to its own request.
 */
class CompleteAnswersTests {

	private static final PrintStream NO_OUTPUT = new PrintStream(OutputStream.nullOutputStream());

	static Stream<Integer> streams() {
		return Stream.of(1, 200);
	}

	@ParameterizedTest(name = "{0} concurrent streams")
	@MethodSource("streams")
	void returnsExpectedAnswerToEachCaller(int streams) throws Exception {
		try (LocalCluster cluster = TestClusters.start()) {
			assertThat(run(cluster, streams).outcomes()).hasSize(streams).allMatch(LoadOutcome::answeredCorrectly);
		}
	}

	@ParameterizedTest(name = "{0}")
	@EnumSource(names = { "CROSS_ANSWERS", "TRUNCATE_ANSWERS" })
	void returnsNoWrongAnswerFromFaultyEngine(EngineFault fault) throws Exception {
		try (LocalCluster cluster = TestClusters.start()) {
			cluster.fleet().engines().get("braga-engine-1").setFault(fault, 3);
			LoadResult result = run(cluster, 60);
			assertThat(result.outcomes()).noneMatch((outcome) -> outcome.complete() && !outcome.correct());
			long complete = result.outcomes().stream().filter(LoadOutcome::answeredCorrectly).count();
			if (fault == EngineFault.CROSS_ANSWERS) {
				assertThat(complete).isEqualTo(60);
				assertThat(metrics(cluster)).anyMatch(
						(page) -> page.contains("rattanhead_crossed_answers_total{upstream=\"braga-engine-1\"} 3.0"));
			}
			else {
				assertThat(complete).isGreaterThanOrEqualTo(57);
			}
		}
	}

	private static LoadResult run(LocalCluster cluster, int streams) throws InterruptedException {
		LoadPlan plan = new LoadPlan(streams,
				IntStream.range(0, streams).mapToObj((index) -> new PlannedRequest(index, 0, 1_000, 40)).toList());
		return LoadRun.run(plan, new LoadTarget(cluster.addresses(), TestClusters.KEY, TestClusters.MODEL, true),
				NO_OUTPUT);
	}

	private static Stream<String> metrics(LocalCluster cluster) {
		try (HttpClient caller = new HttpClient("test", 1)) {
			return cluster.addresses()
				.stream()
				.map((address) -> caller.call(HttpCall.get(address, "/metrics", 5_000)).join().body().text())
				.toList()
				.stream();
		}
	}

}
