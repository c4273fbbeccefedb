package org.rattanhead.ring;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
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

	static Stream<Arguments> failures() {
		return Stream.of(Arguments.of("stack overflow", (Supplier<Error>) StackOverflowError::new),
				Arguments.of("out of memory", (Supplier<Error>) () -> new OutOfMemoryError("expected by the test")),
				Arguments.of("missing class", (Supplier<Error>) () -> new NoClassDefFoundError("expected by the test")),
				Arguments.of("failed assertion", (Supplier<Error>) AssertionError::new));
	}

	/**
	 * Guards against LOST: an error in the handling of one event ended the thread, and
	 * every later event was accepted and never handled.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("failures")
	void continuesAfterHandlerError(String name, Supplier<Error> failure) throws InterruptedException {
		CountDownLatch handled = new CountDownLatch(1);
		AtomicInteger threadsLost = new AtomicInteger();
		try (Duty<Integer> duty = new Duty<>("test", CAPACITY, System::nanoTime, (event, now) -> {
			if (event == 1) {
				throw failure.get();
			}
			handled.countDown();
		}, threadsLost::incrementAndGet)) {
			duty.offer(1, Urgency.CONTROL);
			duty.offer(2, Urgency.CONTROL);
			assertThat(handled.await(5, TimeUnit.SECONDS)).as("the event after the error was handled").isTrue();
		}
		assertThat(threadsLost).hasValue(0);
	}

	/**
	 * Guards against LOST: a process without the thread of a duty that still accepts
	 * requests and is ready.
	 */
	@ParameterizedTest(name = "thread lost after {0} events")
	@ValueSource(ints = { 0, 3 })
	void reportsLostThread(int events) throws InterruptedException {
		CountDownLatch lost = new CountDownLatch(1);
		LongSupplier clock = () -> 0;
		try (Duty<Integer> duty = new Duty<>("test", CAPACITY, clock, (event, now) -> {
			if (event == events) {
				Thread.currentThread().interrupt();
			}
		}, lost::countDown)) {
			IntStream.rangeClosed(0, events).forEach((event) -> duty.offer(event, Urgency.CONTROL));
			assertThat(lost.await(5, TimeUnit.SECONDS)).as("the end of the thread was reported").isTrue();
		}
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
