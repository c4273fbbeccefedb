package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which configurations are decoded when several arrive.
 */
class ConfigurationDutyTests {

	/**
	 * Guards against CONFIG: a newest version that waits until older ones are decoded.
	 */
	@ParameterizedTest(name = "{0} arrive while one is decoded")
	@ValueSource(ints = { 1, 2, 200 })
	void decodesTheLastOfThoseThatWait(int waiting) throws Exception {
		List<String> decoded = Collections.synchronizedList(new ArrayList<>());
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch released = new CountDownLatch(1);
		try (ConfigurationDuty duty = new ConfigurationDuty((value) -> {
			decoded.add(value.text());
			started.countDown();
			awaitUninterruptibly(released);
		})) {
			duty.decode(Payload.of("first"));
			started.await();
			for (int version = 1; version <= waiting; version++) {
				duty.decode(Payload.of("version " + version));
			}
			released.countDown();
		}
		assertThat(decoded).containsExactly("first", "version " + waiting);
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
