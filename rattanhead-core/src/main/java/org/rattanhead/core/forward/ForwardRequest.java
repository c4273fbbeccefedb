package org.rattanhead.core.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.core.request.RequestId;

/**
 * A request to forward.
 *
 * @param id the id of the request within this daemon
 * @param callerAttempt the id that the caller assigned to this attempt
 * @param method the HTTP method
 * @param host the Host header
 * @param target path and query, as received
 * @param path the path without the query
 * @param fields the header fields to pass on
 * @param body the body
 * @param deadlineMillis the time-out of the caller, in milliseconds; empty if not
 * specified
 * @param key the key of the caller
 * @param tokens the lengths of the prompt and of the answer, for an engine
 * @param answerTokensHint an estimate of the length of the answer, in tokens
 * @param lastEventId the id of the last event that the caller received, if it resumes a
 * stream
 * @param fingerprint equal for repetitions of one request under new attempt ids
 * @param sharedParts the ids of the parts of the prompt that other requests may share
 */
public record ForwardRequest(RequestId id, String callerAttempt, String method, String host, String target, String path,
		List<HttpField> fields, Payload body, OptionalLong deadlineMillis, Optional<String> key,
		Optional<TokenCounts> tokens, OptionalLong answerTokensHint, Optional<String> lastEventId, long fingerprint,
		List<Long> sharedParts) {

	/**
	 * Returns the keys under which crashes of instances are counted: the shared parts of
	 * the prompt, the last one first, since the fewest requests share it; then the
	 * fingerprint.
	 * @return the keys
	 */
	public List<Long> crashKeys() {
		List<Long> keys = new ArrayList<>(this.sharedParts);
		Collections.reverse(keys);
		keys.add(this.fingerprint);
		return keys;
	}

}
