package org.rattanhead.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.TurnQueue;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * However many parts of a response are added, one task waits on the I/O thread.
 */
class ResponseOutboxTests {

	/** Guards against CONFIG: a queue of the I/O thread with one task for each part. */
	@ParameterizedTest(name = "{0} parts of {1} bytes")
	@CsvSource({ "1, 1", "100000, 1", "1000, 1000", "100, 16384" })
	void queuesOneTaskForAllPartsThatWait(int parts, int partBytes) {
		Queue<Runnable> tasks = new ArrayDeque<>();
		ResponseOutbox outbox = new ResponseOutbox(tasks::add, new ResponseWriter(null, () -> {
		}), new TurnQueue(tasks::add));
		Payload part = Payload.of("x".repeat(partBytes));
		for (int index = 0; index < parts; index++) {
			outbox.write(part);
		}
		assertThat(tasks).hasSize(1);
	}

	@ParameterizedTest(name = "the I/O thread runs after each {0} of the steps")
	@ValueSource(ints = { 1, 2 })
	void keepsOrderOfHeadAndEnd(int stepsPerRun) {
		Queue<Runnable> tasks = new ArrayDeque<>();
		List<String> steps = new ArrayList<>();
		ResponseOutbox outbox = new ResponseOutbox(tasks::add, new ResponseWriter(null, () -> {
		}), new TurnQueue(tasks::add));
		List<Runnable> calls = List.of(() -> outbox.begin(() -> steps.add("head")),
				() -> outbox.end(() -> steps.add("end")));
		for (int index = 0; index < calls.size(); index++) {
			calls.get(index).run();
			if ((index + 1) % stepsPerRun == 0) {
				tasks.forEach(Runnable::run);
				tasks.clear();
			}
		}
		tasks.forEach(Runnable::run);
		assertThat(steps).containsExactly("head", "end");
	}

}
