package org.rattanhead.upstream.internal;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.request.Work;

/**
 * Header fields sent to upstreams.
 */
public final class CallHeaders {

	/** Carries the attempt id; upstreams echo it in the answer. */
	public static final String ATTEMPT = "X-Request-Id";

	private static final String PRIORITY = "X-Request-Priority";

	private static final String CONTENT_TYPE = "Content-Type";

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private CallHeaders() {
	}

	/**
	 * Builds the header fields of a call.
	 * @param work the work
	 * @return the fields
	 */
	public static List<HttpField> of(Work work) {
		List<HttpField> fields = new ArrayList<>();
		fields.add(new HttpField(ATTEMPT, work.attempt().toString()));
		fields.add(new HttpField(PRIORITY, Integer.toString(work.priority())));
		if (!work.call().contentType().isEmpty()) {
			fields.add(new HttpField(CONTENT_TYPE, work.call().contentType()));
		}
		if (!work.repeatable()) {
			fields.add(new HttpField(IDEMPOTENCY_KEY, work.idempotencyKey()));
		}
		return fields;
	}

}
