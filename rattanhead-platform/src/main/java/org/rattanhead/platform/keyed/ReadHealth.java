package org.rattanhead.platform.keyed;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * Whether the reads of a stream fail. Logs the first failure and the return.
 */
final class ReadHealth {

	private static final Logger LOGGER = LogManager.getLogger(ReadHealth.class);

	private final KeyedStream stream;

	private boolean failing;

	ReadHealth(KeyedStream stream) {
		this.stream = stream;
	}

	boolean isFailing() {
		return this.failing;
	}

	void failed(Throwable failure) {
		if (!this.failing) {
			this.failing = true;
			LOGGER.warn("platform: reading stream {} failed; continuing with the last state read: {}", this.stream,
					failure.getMessage());
		}
	}

	void succeeded() {
		if (this.failing) {
			this.failing = false;
			LOGGER.info("platform: stream {} can be read again", this.stream);
		}
	}

}
