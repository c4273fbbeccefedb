package org.rattanhead.http.internal;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Tells the request that a connection currently carries when the connection closes. One
 * listener serves all requests of a connection.
 */
final class ConnectionWatch {

	private static final AttachmentKey<ConnectionWatch> KEY = AttachmentKey.create(ConnectionWatch.class);

	private volatile Runnable onClose = () -> {
	};

	private ConnectionWatch() {
	}

	static ConnectionWatch of(ServerConnection connection) {
		ConnectionWatch watch = connection.getAttachment(KEY);
		if (watch == null) {
			ConnectionWatch created = new ConnectionWatch();
			connection.putAttachment(KEY, created);
			connection.addCloseListener((closed) -> created.onClose.run());
			return created;
		}
		return watch;
	}

	void current(Runnable newOnClose) {
		this.onClose = newOnClose;
	}

}
