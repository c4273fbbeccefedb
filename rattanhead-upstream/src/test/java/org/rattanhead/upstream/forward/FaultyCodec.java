package org.rattanhead.upstream.forward;

import java.net.InetSocketAddress;
import java.util.List;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpHead;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.forward.Ticket;

/**
 * Fails in one of its methods, or encodes a call that cannot be sent.
 *
 * @param failing the name of the method
 * @param server receives the calls
 */
record FaultyCodec(String failing, InetSocketAddress server) implements CallCodec {

	@Override
	public HttpCall encode(ForwardCall call) {
		failIn("encode");
		String method = this.failing.equals("send") ? "G\u0100T" : "GET";
		return new HttpCall(this.server, method, "/", List.of(), Payload.EMPTY, 20_000);
	}

	@Override
	public AnswerHead decode(HttpHead head, ForwardCall call) {
		failIn("decode");
		return new AnswerHead(head.status(), List.of(), AnswerVerdict.RUN, false, true, "");
	}

	@Override
	public ServerNotice notice(HttpHead head) {
		failIn("notice");
		return ServerNotice.NONE;
	}

	@Override
	public HttpCall probe(UpstreamInstance instance, long timeoutMillis) {
		return HttpCall.get(this.server, "/probe", timeoutMillis);
	}

	@Override
	public HttpCall reserve(Ticket ticket, long holdMillis) {
		failIn("reserve");
		return HttpCall.get(this.server, "/reserve", 1_000);
	}

	@Override
	public HttpCall release(Ticket ticket) {
		return HttpCall.get(this.server, "/release", 1_000);
	}

	private void failIn(String method) {
		if (this.failing.equals(method)) {
			throw new IllegalStateException("expected by the test");
		}
	}

}
