package org.rattanhead.daemon.gateway;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.rattanhead.core.Payload;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Urgency;

/**
 * The duty that decodes configurations. Of those that arrive while one is decoded, only
 * the last is decoded, so that a slow host does not fall behind by all of them.
 */
final class ConfigurationDuty implements AutoCloseable {

	private static final int RING_SLOTS = 64;

	private final AtomicReference<Payload> newest = new AtomicReference<>();

	private final Duty<ConfigurationDue> duty;

	/**
	 * Starts the duty.
	 * @param publisher decodes and publishes a configuration
	 */
	ConfigurationDuty(Consumer<Payload> publisher) {
		this.duty = new Duty<>("configuration", RING_SLOTS, System::nanoTime, (event, now) -> {
			Payload value = this.newest.getAndSet(null);
			if (value != null) {
				publisher.accept(value);
			}
		});
	}

	/**
	 * Lets a configuration be decoded, unless a further one arrives first.
	 * @param value the value of the record
	 */
	void decode(Payload value) {
		this.newest.set(value);
		this.duty.offer(new ConfigurationDue(), Urgency.COMPLETION);
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
