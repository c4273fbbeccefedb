package org.rattanhead.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EngineSimulator} on a virtual clock.
 */
class EngineSimulatorTests {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final List<String> events = new ArrayList<>();

	private final EngineSimulator engine = new EngineSimulator(
			new EngineProfile("e", "m", 1_000, 10, 3_000, 2, 1, 1_000, 500, true), 0);

	private long nowNanos;

	static Stream<Arguments> servedRequests() {
		return Stream.of(row("completes an answer", List.of("end a"), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 1_000, 0);
			test.run(3);
		}), row("does not finish a long prompt too early", List.of(), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 2_500, 0);
			test.run(2);
		}), row("runs no more requests than it has slots", List.of("end a", "end b"), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 10, 0);
			test.submit("b", 0, 10, 0);
			test.submit("c", 0, 900, 0);
			test.run(1);
		}), row("delays a request that exceeds free memory", List.of("end a"), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 1_600, 0);
			test.submit("b", 0, 1_600, 0);
			test.run(3);
		}), row("serves the lower priority number first", List.of("end b"), (test) -> {
			test.finishColdStart();
			test.submit("a", 9, 1_400, 0);
			test.submit("b", 0, 1_400, 0);
			test.run(2);
		}));
	}

	static Stream<Arguments> injectedFaults() {
		return Stream.of(row("crashes when overloaded in cold start", List.of("reset a", "reset b"), (test) -> {
			test.submit("a", 0, 10, 0);
			test.submit("b", 0, 10, 0);
		}), row("serves up to its limit in cold start", List.of("end a"), (test) -> {
			test.submit("a", 0, 10, 0);
			test.run(1);
		}), row("frees memory on cancel", List.of("reset a", "end b"), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 2_900, 0);
			test.step(20);
			test.engine.cancel("a");
			test.submit("b", 0, 500, 0);
			test.run(2);
		}), row("resets requests on and after an injected crash", List.of("reset a", "reset b"), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 10, 0);
			test.engine.setFault(new FaultBody(EngineFault.CRASH, 0), test.nowNanos);
			test.submit("b", 0, 10, 0);
		}), row("does not answer during an injected silence", List.of(), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 10, 0);
			test.engine.setFault(new FaultBody(EngineFault.SILENCE, 5_000), test.nowNanos);
			test.run(3);
		}), row("rejects stale fencing numbers", List.of("fenced b", "end a", "end c"), (test) -> {
			test.finishColdStart();
			test.submit("a", 0, 10, 7);
			test.submit("b", 0, 10, 6);
			test.submit("c", 0, 10, 7);
			test.run(1);
		}));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource({ "servedRequests", "injectedFaults" })
	void producesExpectedEvents(String name, List<String> expected, Consumer<EngineSimulatorTests> script) {
		script.accept(this);
		assertThat(this.events).containsExactlyElementsOf(expected);
	}

	private void finishColdStart() {
		run(2);
	}

	private void run(int seconds) {
		for (int step = 0; step < seconds * 50; step++) {
			step(20);
		}
	}

	private void step(long millis) {
		this.nowNanos += millis * NANOS_PER_SECOND / 1_000;
		this.engine.step(this.nowNanos);
	}

	private void submit(String id, int priority, int promptTokens, long fencingNumber) {
		this.engine.submit(new EngineRequest(id, priority, 0, promptTokens, 5, true, fencingNumber),
				new SequenceSink() {
					@Override
					public void onToken(String answerId, int index) {
						assertThat(index).isLessThan(5);
					}

					@Override
					public void onEnd(String answerId) {
						EngineSimulatorTests.this.events.add("end " + id);
					}

					@Override
					public void onFencingRejected() {
						EngineSimulatorTests.this.events.add("fenced " + id);
					}

					@Override
					public void onReset() {
						EngineSimulatorTests.this.events.add("reset " + id);
					}
				}, this.nowNanos);
	}

	private static Arguments row(String name, List<String> expected, Consumer<EngineSimulatorTests> script) {
		return Arguments.of(name, expected, script);
	}

}
