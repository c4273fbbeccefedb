package org.rattanhead.standin.host;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostList;
import org.rattanhead.ring.Ticker;
import org.rattanhead.standin.http.ErrorBody;
import org.rattanhead.standin.http.Replies;
import org.rattanhead.standin.http.Reply;
import org.rattanhead.standin.http.StandinServer;

/**
 * A stand-in for the platform's host list. A list that replaces the current one, by
 * method or by POST, becomes visible after a delay.
 */
public final class HostListStandin implements AutoCloseable {

	private static final int BAD_REQUEST = 400;

	private final Ticker ticker = new Ticker("host-standin-ticker");

	private final long lagMillis;

	private final StandinServer server;

	private volatile HostList visible = HostList.EMPTY;

	/**
	 * Starts the service.
	 * @param address where it listens; port 0 for any free port
	 * @param lagMillis delay before a change becomes visible, in milliseconds
	 */
	public HostListStandin(InetSocketAddress address, long lagMillis) {
		this.lagMillis = lagMillis;
		this.server = new StandinServer(address, this::handle);
	}

	/**
	 * Returns where the service listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Replaces the list.
	 * @param hosts the hosts
	 */
	public void set(List<Host> hosts) {
		HostList replacement = new HostList(hosts);
		if (this.lagMillis == 0) {
			this.visible = replacement;
		}
		else {
			this.ticker.after(this.lagMillis, () -> this.visible = replacement);
		}
	}

	private void handle(HttpServerExchange exchange) {
		if ("POST".equals(exchange.getRequestMethod().toString())) {
			Replies.receiveBody(exchange, (body) -> replace(exchange, body));
		}
		else {
			Replies.send(exchange, Reply.ok(this.visible));
		}
	}

	private void replace(HttpServerExchange exchange, Payload body) {
		try {
			HostList list = Replies.MAPPER.readValue(body.bytes(), HostList.class);
			set(list.hosts());
			Replies.send(exchange, Reply.ok(list));
		}
		catch (IOException ex) {
			Replies.send(exchange, Reply.of(BAD_REQUEST, new ErrorBody("malformed host list", "send 'hosts'")));
		}
	}

	@Override
	public void close() {
		this.ticker.close();
		this.server.close();
	}

}
