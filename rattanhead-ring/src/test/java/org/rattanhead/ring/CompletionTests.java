package org.rattanhead.ring;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Completions that are offered to a full ring.
 */
class CompletionTests {

	private static final int EVENTS_PER_PRODUCER = 20_000;

	/**
	 * Guards against LOST: the end of an answer that a full ring refused, so that its
	 * request ended at its deadline or never.
	 */
	@ParameterizedTest(name = "{1} completions to a full ring of {0} slots")
	@CsvSource({ "4, 1", "4, 5", "4, 1000", "16, 100" })
	void handlesCompletionsOfferedToFullRing(int slots, int count) throws InterruptedException {
		CountDownLatch entered = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		CountDownLatch done = new CountDownLatch(count);
		List<Integer> handled = new CopyOnWriteArrayList<>();
		try (Duty<Integer> duty = new Duty<>("test", slots, System::nanoTime, (event, now) -> {
			entered.countDown();
			await(release);
			if (event > 0) {
				handled.add(event);
				done.countDown();
			}
		})) {
			duty.offer(0, Urgency.CONTROL);
			entered.await();
			while (duty.refused() == 0) {
				duty.offer(0, Urgency.CONTROL);
			}
			IntStream.rangeClosed(1, count)
				.forEach((event) -> assertThat(duty.offer(event, Urgency.COMPLETION)).isTrue());
			release.countDown();
			assertThat(done.await(5, TimeUnit.SECONDS)).as("all completions were handled").isTrue();
		}
		assertThat(handled).containsExactlyElementsOf(IntStream.rangeClosed(1, count).boxed().toList());
	}

	/**
	 * Guards against MIXED: a part of an answer that passes its head, which waits beside
	 * the ring.
	 */
	@ParameterizedTest(name = "{0}")
	@EnumSource(value = Urgency.class, names = "COMPLETION", mode = EnumSource.Mode.EXCLUDE)
	void refusesOtherEventsWhileCompletionsWait(Urgency urgency) throws InterruptedException {
		CountDownLatch entered = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		try (Duty<Integer> duty = new Duty<>("test", 4, System::nanoTime, (event, now) -> {
			entered.countDown();
			await(release);
		})) {
			IntStream.range(0, 10).forEach((event) -> duty.offer(event, Urgency.COMPLETION));
			entered.await();
			assertThat(duty.offer(10, urgency)).isFalse();
			release.countDown();
		}
	}

	/**
	 * Guards against a completion that waits beside the ring for ever, since the thread
	 * fell asleep as it was added, and against events of one source that change places.
	 */
	@ParameterizedTest(name = "{0} producers, ring of {1} slots")
	@CsvSource({ "1, 4", "3, 4", "3, 16", "2, 64" })
	void handlesEventsOfEachProducerInOrder(int producers, int slots) throws InterruptedException {
		Map<Integer, List<Integer>> handled = new ConcurrentHashMap<>();
		CountDownLatch done = new CountDownLatch(producers * EVENTS_PER_PRODUCER);
		try (Duty<int[]> duty = new Duty<>("test", slots, System::nanoTime, (event, now) -> {
			handled.computeIfAbsent(event[0], (producer) -> new ArrayList<>()).add(event[1]);
			done.countDown();
		})) {
			List<Thread> threads = IntStream.range(0, producers)
				.mapToObj((producer) -> new Thread(() -> produce(duty, producer)))
				.toList();
			threads.forEach(Thread::start);
			assertThat(done.await(20, TimeUnit.SECONDS)).as("all events were handled").isTrue();
		}
		assertThat(handled.values()).allSatisfy((events) -> assertThat(events).isSorted().hasSize(EVENTS_PER_PRODUCER));
	}

	private static void produce(Duty<int[]> duty, int producer) {
		for (int event = 0; event < EVENTS_PER_PRODUCER; event++) {
			int[] offered = { producer, event };
			Urgency urgency = (event % 3 == 0) ? Urgency.STREAM : Urgency.COMPLETION;
			while (!duty.offer(offered, urgency)) {
				pause();
			}
		}
	}

	private static void pause() {
		try {
			TimeUnit.MICROSECONDS.sleep(50);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
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
