package org.rattanhead.decision.forward;

import java.util.AbstractList;
import java.util.function.Supplier;

/**
 * Shared parts of a prompt that fail every rule that reads them, once armed.
 */
final class FaultyParts extends AbstractList<Long> {

	private final Supplier<? extends Error> error;

	private boolean armed;

	/**
	 * Creates the parts.
	 * @param error the error, or null for an exception
	 */
	FaultyParts(Supplier<? extends Error> error) {
		this.error = error;
	}

	void arm() {
		this.armed = true;
	}

	@Override
	public Long get(int index) {
		if (this.armed && this.error != null) {
			throw this.error.get();
		}
		if (this.armed) {
			throw new IllegalStateException("expected by the test");
		}
		return 1L;
	}

	@Override
	public int size() {
		return 1;
	}

}
