package org.rattanhead.http.internal;

import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;

/**
 * Decodes the requests of one path.
 */
@FunctionalInterface
public interface RequestDecoder {

	/**
	 * Decodes a request.
	 * @param id the id of the request
	 * @param exchange its header fields and path
	 * @param body its body
	 * @return the request
	 * @throws org.rattanhead.core.problem.ProblemException if it is malformed
	 */
	CallerRequest decode(RequestId id, HttpServerExchange exchange, Payload body);

}
