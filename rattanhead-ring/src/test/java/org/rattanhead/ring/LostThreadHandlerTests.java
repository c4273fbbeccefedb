package org.rattanhead.ring;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LostThreadHandler}.
 */
class LostThreadHandlerTests {

	static Stream<Error> errors() {
		return Stream.of(new OutOfMemoryError("expected by the test"), new StackOverflowError("expected by the test"),
				new NoClassDefFoundError("expected by the test"));
	}

	/**
	 * Guards against LOST: a process that accepts requests after it lost a thread that
	 * answers them.
	 */
	@ParameterizedTest
	@MethodSource("errors")
	void reportsLostThread(Error error) throws InterruptedException {
		CountDownLatch lost = new CountDownLatch(1);
		Thread thread = new Thread(() -> {
			throw error;
		}, "test");
		thread.setUncaughtExceptionHandler(new LostThreadHandler(lost::countDown));
		thread.start();
		assertThat(lost.await(5, TimeUnit.SECONDS)).as("the end of the thread was reported").isTrue();
	}

}
