package org.rattanhead.core.request;

/**
 * Identifies one request of a caller, unique across daemons and their restarts.
 *
 * @param value daemon name, start time and sequence number
 */
public record RequestId(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
