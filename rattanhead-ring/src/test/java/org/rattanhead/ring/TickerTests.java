package org.rattanhead.ring;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Ticker}.
 */
class TickerTests {

	static Stream<Arguments> failures() {
		return Stream.of(
				Arguments.of("exception",
						(Supplier<Throwable>) () -> new IllegalStateException("expected by the test")),
				Arguments.of("out of memory", (Supplier<Throwable>) () -> new OutOfMemoryError("expected by the test")),
				Arguments.of("stack overflow", (Supplier<Throwable>) StackOverflowError::new));
	}

	/**
	 * Guards against LOST: an error in one run of a periodic action cancelled all later
	 * runs, so that no deadline was enforced any more.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("failures")
	void repeatsActionAfterItsFailure(String name, Supplier<Throwable> failure) throws InterruptedException {
		CountDownLatch runs = new CountDownLatch(3);
		try (Ticker ticker = new Ticker("test")) {
			ticker.every(5, () -> {
				runs.countDown();
				TickerTests.<RuntimeException>sneakyThrow(failure.get());
			});
			assertThat(runs.await(5, TimeUnit.SECONDS)).as("the action ran again after its failure").isTrue();
		}
	}

	@SuppressWarnings("unchecked")
	private static <T extends Throwable> void sneakyThrow(Throwable failure) throws T {
		throw (T) failure;
	}

}
