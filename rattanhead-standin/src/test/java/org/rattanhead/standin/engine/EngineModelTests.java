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
 * Tests of {@link EngineModel} on a virtual clock.
 */
class EngineModelTests {

	private static final long SECOND = 1_000_000_000L;

	private final List<String> events = new ArrayList<>();

	private final EngineModel engine = new EngineModel(
			new EngineProfile("e", "m", 1_000, 10, 3_000, 2, 1, 1_000, 500, true), 0);

	private long nowNanos;

	static Stream<Arguments> service() {
		return Stream.of(row("answers whole", List.of("end a"), (test) -> {
			test.warm();
			test.arrive("a", 0, 1_000, 0);
			test.run(3);
		}), row("takes time by length", List.of(), (test) -> {
			test.warm();
			test.arrive("a", 0, 2_500, 0);
			test.run(2);
		}), row("batches up to its slots", List.of("end a", "end b"), (test) -> {
			test.warm();
			test.arrive("a", 0, 10, 0);
			test.arrive("b", 0, 10, 0);
			test.arrive("c", 0, 900, 0);
			test.run(1);
		}), row("keeps to its memory", List.of("end a"), (test) -> {
			test.warm();
			test.arrive("a", 0, 1_600, 0);
			test.arrive("b", 0, 1_600, 0);
			test.run(3);
		}), row("serves the lower priority number first", List.of("end b"), (test) -> {
			test.warm();
			test.arrive("a", 9, 1_400, 0);
			test.arrive("b", 0, 1_400, 0);
			test.run(2);
		}));
	}

	static Stream<Arguments> faults() {
		return Stream.of(row("falls over in cold start", List.of("reset a", "reset b"), (test) -> {
			test.arrive("a", 0, 10, 0);
			test.arrive("b", 0, 10, 0);
		}), row("bears its limit in cold start", List.of("end a"), (test) -> {
			test.arrive("a", 0, 10, 0);
			test.run(1);
		}), row("frees memory on cancel", List.of("reset a", "end b"), (test) -> {
			test.warm();
			test.arrive("a", 0, 2_900, 0);
			test.step(20);
			test.engine.cancel("a");
			test.arrive("b", 0, 500, 0);
			test.run(2);
		}), row("crashes on demand", List.of("reset a", "reset b"), (test) -> {
			test.warm();
			test.arrive("a", 0, 10, 0);
			test.engine.fault(new FaultBody(EngineFault.CRASH, 0), test.nowNanos);
			test.arrive("b", 0, 10, 0);
		}), row("falls silent on demand", List.of(), (test) -> {
			test.warm();
			test.arrive("a", 0, 10, 0);
			test.engine.fault(new FaultBody(EngineFault.SILENCE, 5_000), test.nowNanos);
			test.run(3);
		}), row("refuses old fencing numbers", List.of("fenced b", "end a", "end c"), (test) -> {
			test.warm();
			test.arrive("a", 0, 10, 7);
			test.arrive("b", 0, 10, 6);
			test.arrive("c", 0, 10, 7);
			test.run(1);
		}));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource({ "service", "faults" })
	void keepsItsContract(String name, List<String> expected, Consumer<EngineModelTests> script) {
		script.accept(this);
		assertThat(this.events).containsExactlyElementsOf(expected);
	}

	private void warm() {
		run(2);
	}

	private void run(int seconds) {
		for (int step = 0; step < seconds * 50; step++) {
			step(20);
		}
	}

	private void step(long millis) {
		this.nowNanos += millis * SECOND / 1_000;
		this.engine.step(this.nowNanos);
	}

	private void arrive(String id, int priority, int promptTokens, long fencingNumber) {
		this.engine.arrive(new EngineRequest(id, priority, 0, promptTokens, 5, true, fencingNumber),
				new SequenceSink() {
					@Override
					public void onToken(String answerId, int index) {
						assertThat(index).isLessThan(5);
					}

					@Override
					public void onEnd(String answerId) {
						EngineModelTests.this.events.add("end " + id);
					}

					@Override
					public void onFenced() {
						EngineModelTests.this.events.add("fenced " + id);
					}

					@Override
					public void onReset() {
						EngineModelTests.this.events.add("reset " + id);
					}
				}, this.nowNanos);
	}

	private static Arguments row(String name, List<String> expected, Consumer<EngineModelTests> script) {
		return Arguments.of(name, expected, script);
	}

}
