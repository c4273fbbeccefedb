package org.rattanhead.standin.http;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;

/**
 * The HTTP server of a stand-in.
 */
public final class StandinServer implements AutoCloseable {

	private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	private final Undertow server;

	/**
	 * Starts a server.
	 * @param address where it listens; port 0 for any free port
	 * @param handler handles the requests
	 */
	public StandinServer(InetSocketAddress address, HttpHandler handler) {
		this.server = Undertow.builder()
			.addHttpListener(address.getPort(), address.getHostString())
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
			.setHandler(handler)
			.build();
		this.server.start();
	}

	/**
	 * Returns where the server listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
