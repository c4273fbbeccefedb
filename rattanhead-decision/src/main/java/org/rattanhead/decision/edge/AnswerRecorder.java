package org.rattanhead.decision.edge;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.KeptAnswer;

/**
 * Collects the answer to a request that may not be repeated, up to
 * {@link KeptAnswer#MAX_BODY_BYTES}.
 */
final class AnswerRecorder {

	private final int status;

	private final String contentType;

	private final List<Payload> parts = new ArrayList<>();

	private int length;

	AnswerRecorder(int status, String contentType) {
		this.status = status;
		this.contentType = contentType;
	}

	boolean add(Payload part) {
		this.parts.add(part);
		this.length += part.length();
		return this.length <= KeptAnswer.MAX_BODY_BYTES;
	}

	KeptAnswer answer() {
		byte[] body = new byte[this.length];
		int position = 0;
		for (Payload part : this.parts) {
			System.arraycopy(part.bytes(), 0, body, position, part.length());
			position += part.length();
		}
		return new KeptAnswer(this.status, this.contentType, new Payload(body));
	}

}
