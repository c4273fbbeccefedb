package org.rattanhead.upstream.forward;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpHead;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.forward.Ticket;

/**
 * Encodes plain GET requests. Blocks the thread of the duty while it encodes a request
 * whose instance is named "blocking".
 */
final class BlockingCodec implements CallCodec {

	static final String BLOCKING = "blocking";

	final CountDownLatch blocked = new CountDownLatch(1);

	final CountDownLatch release = new CountDownLatch(1);

	private final InetSocketAddress server;

	BlockingCodec(InetSocketAddress server) {
		this.server = server;
	}

	@Override
	public HttpCall encode(ForwardCall call) {
		if (call.instance().id().equals(BLOCKING)) {
			this.blocked.countDown();
			try {
				this.release.await(10, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		return HttpCall.get(this.server, "/" + call.attempt(), 20_000);
	}

	@Override
	public AnswerHead decode(HttpHead head, ForwardCall call) {
		return new AnswerHead(head.status(), List.of(), AnswerVerdict.values()[0], false, true, "");
	}

	@Override
	public ServerNotice notice(HttpHead head) {
		return ServerNotice.NONE;
	}

	@Override
	public HttpCall probe(UpstreamInstance instance, long timeoutMillis) {
		return HttpCall.get(this.server, "/probe", timeoutMillis);
	}

	@Override
	public HttpCall reserve(Ticket ticket, long holdMillis) {
		return HttpCall.get(this.server, "/reserve", 1_000);
	}

	@Override
	public HttpCall release(Ticket ticket) {
		return HttpCall.get(this.server, "/release", 1_000);
	}

}
