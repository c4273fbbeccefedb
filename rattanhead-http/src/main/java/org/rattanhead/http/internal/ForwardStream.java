package org.rattanhead.http.internal;

import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongPredicate;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.core.TurnQueue;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.http.forward.RefusalReply;
import org.rattanhead.server.ResponseOutbox;
import org.rattanhead.server.ResponseWriter;

/**
 * The response to one caller. All access to the exchange runs on the I/O thread of the
 * connection.
 */
final class ForwardStream {

	private static final Logger LOGGER = LogManager.getLogger(ForwardStream.class);

	private final HttpServerExchange exchange;

	private final ResponseWriter writer;

	private final ResponseOutbox outbox;

	private final DisconnectDetector disconnectDetector;

	ForwardStream(HttpServerExchange exchange, Runnable onDisconnect, LongPredicate onWritten, TurnQueue turns) {
		this.exchange = exchange;
		WrittenBytes written = new WrittenBytes(exchange.getIoThread(), onWritten);
		this.writer = new ResponseWriter(exchange, onDisconnect, written::add);
		this.outbox = new ResponseOutbox(this::onIoThread, this.writer, turns);
		ConnectionCloseListener.of(exchange.getConnection()).onClose(onDisconnect);
		this.disconnectDetector = DisconnectDetector.start(exchange);
	}

	void begin(BeginReply command, boolean closing) {
		this.outbox.begin(() -> {
			if (command.lengthBytes() >= 0) {
				// Undertow reads the next request as soon as the last byte is written,
				// before end() runs.
				this.disconnectDetector.stop();
			}
			// The answer to HEAD has no body, so its length is not that of the resource.
			boolean headOnly = this.exchange.getRequestMethod().equals(Methods.HEAD);
			setHead(command.status(), command.fields(), headOnly ? BeginReply.UNKNOWN_LENGTH : command.lengthBytes(),
					closing);
		});
	}

	void write(Payload bytes) {
		this.outbox.write(bytes);
	}

	void end() {
		this.outbox.end(() -> {
			this.disconnectDetector.stop();
			this.writer.end();
		});
	}

	void abort() {
		this.outbox.end(this.writer::abort);
	}

	void refuse(RefusalReply reply, boolean closing) {
		this.outbox.end(() -> {
			this.disconnectDetector.stop();
			setHead(reply.status(), reply.fields(), reply.body().length(), closing);
			this.writer.write(reply.body());
			this.writer.end();
		});
	}

	private void setHead(int status, List<HttpField> fields, long lengthBytes, boolean closing) {
		this.exchange.setStatusCode(status);
		fields.forEach((field) -> this.exchange.getResponseHeaders().add(new HttpString(field.name()), field.value()));
		if (lengthBytes >= 0) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, lengthBytes);
		}
		if (closing) {
			this.exchange.setPersistent(false);
		}
	}

	private void onIoThread(Runnable action) {
		try {
			this.exchange.getIoThread().execute(action);
		}
		catch (RejectedExecutionException ex) {
			LOGGER.info("http: server stopped; remaining response bytes dropped with the connection");
		}
	}

}
