package org.rattanhead.platform.keyed;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * Calls a listener. If it fails, following continues, since otherwise one odd record
 * would end it.
 */
final class ListenerNotifications {

	private static final Logger LOGGER = LogManager.getLogger(ListenerNotifications.class);

	private final KeyedStream stream;

	ListenerNotifications(KeyedStream stream) {
		this.stream = stream;
	}

	void run(Runnable notification) {
		try {
			notification.run();
		}
		catch (RuntimeException ex) {
			LOGGER.error("platform: records of stream {} could not be applied and are skipped; report the failure",
					this.stream, ex);
		}
	}

}
