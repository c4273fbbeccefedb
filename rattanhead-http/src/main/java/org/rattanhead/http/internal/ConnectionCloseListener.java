package org.rattanhead.http.internal;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Runs the close action of the current request when its connection closes. One listener
 * serves all requests of a connection.
 */
final class ConnectionCloseListener {

	private static final AttachmentKey<ConnectionCloseListener> ATTACHMENT_KEY = AttachmentKey
		.create(ConnectionCloseListener.class);

	private volatile Runnable closeAction = () -> {
	};

	private ConnectionCloseListener() {
	}

	static ConnectionCloseListener of(ServerConnection connection) {
		ConnectionCloseListener listener = connection.getAttachment(ATTACHMENT_KEY);
		if (listener == null) {
			ConnectionCloseListener created = new ConnectionCloseListener();
			connection.putAttachment(ATTACHMENT_KEY, created);
			connection.addCloseListener((closed) -> created.closeAction.run());
			return created;
		}
		return listener;
	}

	void onClose(Runnable action) {
		this.closeAction = action;
	}

}
