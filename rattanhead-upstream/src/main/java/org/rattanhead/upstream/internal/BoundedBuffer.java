package org.rattanhead.upstream.internal;

import org.rattanhead.core.Payload;
import org.rattanhead.core.PayloadBuffer;

/**
 * A growing byte buffer with a maximum length.
 */
final class BoundedBuffer {

	private final int maxBytes;

	private final PayloadBuffer bytes = new PayloadBuffer();

	BoundedBuffer(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	void append(Payload payload) throws InvalidAnswerException {
		if (length() + payload.length() > this.maxBytes) {
			throw new InvalidAnswerException("the answer exceeds " + this.maxBytes + " bytes", false);
		}
		this.bytes.append(payload);
	}

	int length() {
		return this.bytes.length();
	}

	byte at(int index) {
		return this.bytes.at(index);
	}

	Payload take(int count) {
		return this.bytes.take(count);
	}

}
