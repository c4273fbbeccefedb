package org.rattanhead.http.internal;

import java.io.IOException;

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
 * Decodes chat and text completions. The body is passed to the engine unchanged.
 */
public final class ChatDecoder implements RequestDecoder {

	@Override
	public CallerRequest decode(RequestId id, HttpServerExchange exchange, Payload body) {
		ChatBody chat = parse(body);
		UpstreamCall call = new UpstreamCall("POST", exchange.getRequestPath(), "application/json", chat.streamed(),
				body);
		return new CallerRequest(id, RequestFields.keySha256(exchange), new Target(TargetKind.MODEL, chat.model()),
				call, chat.promptTokens(), chat.maxOutputTokens(), RequestFields.timeoutMillis(exchange),
				RequestFields.idempotencyKey(exchange), RequestFields.requestDigest(exchange, call));
	}

	private static ChatBody parse(Payload body) {
		try {
			return ChatBodyParser.parse(body);
		}
		catch (IOException ex) {
			throw new ProblemException(Problem.notRun(ProblemKind.MALFORMED_REQUEST, ex.getMessage()), ex);
		}
	}

}
