package org.rattanhead.daemon.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.ForwardTick;
import org.rattanhead.decision.forward.HeartbeatDue;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Ticks beside other events.
 */
class TickScheduleTests {

	/**
	 * Guards against LOST and CONFIG: deadlines that are not enforced while parts of
	 * answers keep the ring as full as they may.
	 */
	@ParameterizedTest(name = "ring of {0} slots full of {1}")
	@CsvSource({ "16, STREAM", "64, STREAM", "16, CONTROL" })
	void ticksWhileRingIsCrowded(int slots, Urgency urgency) throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		CountDownLatch ticked = new CountDownLatch(1);
		try (Duty<ForwardEvent> duty = new Duty<>("test", slots, System::nanoTime, (event, now) -> {
			await(release);
			if (event instanceof ForwardTick) {
				ticked.countDown();
			}
		})) {
			while (duty.offer(new HeartbeatDue(), urgency)) {
				assertThat(duty.backlog()).isLessThanOrEqualTo(slots);
			}
			new TickSchedule((millis, action) -> {
			}, duty).offerTick();
			release.countDown();
			assertThat(ticked.await(5, TimeUnit.SECONDS)).as("the tick was handled").isTrue();
		}
	}

	/** Guards against ticks that fill the ring of a duty that handles nothing. */
	@ParameterizedTest(name = "{0} ticks due, {1} handled: {2} offered")
	@CsvSource({ "10, 0, 1", "10, 3, 4" })
	void keepsAtMostOneTickInRing(int due, int handled, int offered) {
		AtomicInteger ticks = new AtomicInteger();
		TickSchedule schedule = new TickSchedule((millis, action) -> {
		}, (event, urgency) -> ticks.incrementAndGet() > 0);
		for (int tick = 0; tick < due; tick++) {
			schedule.offerTick();
			if (tick < handled) {
				schedule.handled(new ForwardTick(), false);
			}
		}
		assertThat(ticks).hasValue(offered);
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
