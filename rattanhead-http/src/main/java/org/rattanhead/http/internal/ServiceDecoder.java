package org.rattanhead.http.internal;

import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.UpstreamCall;

/**
 * Decodes calls to services that are not models: {@code /services/NAME/PATH}.
 */
public final class ServiceDecoder implements RequestDecoder {

	@Override
	public CallerRequest decode(RequestId id, HttpServerExchange exchange, Payload body) {
		String path = exchange.getRelativePath();
		int nameEnd = path.indexOf('/', 1);
		String name = (nameEnd > 0) ? path.substring(1, nameEnd) : path.substring(Math.min(1, path.length()));
		if (name.isEmpty()) {
			throw new ProblemException(
					Problem.notRun(ProblemKind.UNKNOWN_PATH, "The path names no service: use /services/NAME/PATH."));
		}
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		String servicePath = ((nameEnd > 0) ? path.substring(nameEnd) : "/") + query;
		UpstreamCall call = new UpstreamCall(exchange.getRequestMethod().toString(), servicePath,
				RequestFields.contentType(exchange), false, body);
		return new CallerRequest(id, RequestFields.keySha256(exchange), new Target(TargetKind.SERVICE, name), call, 0,
				0, RequestFields.timeoutMillis(exchange), RequestFields.idempotencyKey(exchange),
				RequestFields.requestDigest(exchange, call));
	}

}
