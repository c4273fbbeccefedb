package org.rattanhead.ring;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Duty}.
 */
class DutyTests {

	private static final int CAPACITY = 16;

	@ParameterizedTest(name = "{0} fills {1} of " + CAPACITY + " slots")
	@CsvSource({ "NEW_WORK, 8", "STREAM, 12", "CONTROL, 16" })
	void reservesSlotsForMoreUrgentEvents(Urgency urgency, int expected) throws InterruptedException {
		CountDownLatch release = new CountDownLatch(1);
		CountDownLatch entered = new CountDownLatch(1);
		try (Duty<Integer> duty = new Duty<>("test", CAPACITY, System::nanoTime, (event, now) -> {
			entered.countDown();
			await(release);
		})) {
			assertThat(duty.offer(0, Urgency.CONTROL)).isTrue();
			entered.await();
			long accepted = IntStream.range(0, 2 * CAPACITY).filter((event) -> duty.offer(event, urgency)).count();
			assertThat(duty.backlog()).isEqualTo(expected);
			assertThat(accepted).isEqualTo(expected - 1);
			assertThat(duty.refused()).isEqualTo(2 * CAPACITY - accepted);
			release.countDown();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 500 })
	void handlesPendingEventsInOrderBeforeClosing(int count) {
		List<Integer> handled = new CopyOnWriteArrayList<>();
		try (Duty<Integer> duty = new Duty<>("test", 1_024, System::nanoTime, (event, now) -> handled.add(event))) {
			IntStream.range(0, count).forEach((event) -> duty.offer(event, Urgency.CONTROL));
		}
		assertThat(handled).containsExactlyElementsOf(IntStream.range(0, count).boxed().toList());
	}

	@ParameterizedTest
	@EnumSource(Urgency.class)
	void continuesAfterHandlerFailure(Urgency urgency) {
		List<Integer> handled = new CopyOnWriteArrayList<>();
		try (Duty<Integer> duty = new Duty<>("test", CAPACITY, System::nanoTime, (event, now) -> {
			if (event == 1) {
				throw new IllegalStateException("expected by the test");
			}
			handled.add(event);
		})) {
			duty.offer(1, urgency);
			duty.offer(2, urgency);
		}
		assertThat(handled).containsExactly(2);
	}

	/**
	 * Guards against LOST: one event for which there was no memory ended the thread of
	 * its duty, and the process answered nobody from then on.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("errors")
	void continuesAfterError(Error error) {
		List<Integer> handled = new CopyOnWriteArrayList<>();
		try (Duty<Integer> duty = new Duty<>("test", CAPACITY, System::nanoTime, (event, now) -> {
			if (event == 1) {
				throw error;
			}
			handled.add(event);
		})) {
			duty.offer(1, Urgency.CONTROL);
			duty.offer(2, Urgency.CONTROL);
		}
		assertThat(handled).containsExactly(2);
	}

	/**
	 * Guards against LOST: a periodic action, such as the heartbeat, that never ran again
	 * after there was no memory for one run.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("errors")
	void repeatsPeriodicActionAfterError(Error error) throws InterruptedException {
		CountDownLatch runs = new CountDownLatch(3);
		try (Ticker ticker = new Ticker("test")) {
			ticker.every(1, () -> {
				runs.countDown();
				throw error;
			});
			assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
		}
	}

	private static Stream<Error> errors() {
		return Stream.of(new OutOfMemoryError("expected by the test"), new StackOverflowError("expected by the test"));
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
