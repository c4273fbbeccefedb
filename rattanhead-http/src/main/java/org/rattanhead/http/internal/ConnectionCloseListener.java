package org.rattanhead.http.internal;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Runs the close action of the current request when its connection closes. One listener
 * serves all requests of a connection.
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
