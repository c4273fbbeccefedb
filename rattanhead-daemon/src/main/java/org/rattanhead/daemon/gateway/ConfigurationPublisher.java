package org.rattanhead.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.adapter.ConfigurationDecoder;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.decision.forward.ConfigurationApplied;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Decodes configurations and publishes them to the forwarding decisions. One that cannot
 * be decoded is reported, and the previous one stays in force.
 */
final class ConfigurationPublisher {

	private static final Logger LOGGER = LogManager.getLogger(ConfigurationPublisher.class);

	private final EventSink<ForwardEvent> decisions;

	private final GatewayStatus status;

	ConfigurationPublisher(EventSink<ForwardEvent> decisions, GatewayStatus status) {
		this.decisions = decisions;
		this.status = status;
	}

	/**
	 * Decodes a configuration and publishes it.
	 * @param value the value of the record
	 */
	void publish(Payload value) {
		long startNanos = System.nanoTime();
		try {
			Configuration configuration = ConfigurationDecoder.decode(value);
			LOGGER.info("platform: configuration {} of {} bytes was decoded in {} ms", configuration.version(),
					value.length(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
			this.decisions.offer(new ConfigurationApplied(configuration), Urgency.COMPLETION);
			this.status.markConfigured();
		}
		catch (RemedyException ex) {
			LOGGER.error("platform: {}", ex.getMessage());
		}
	}

}
