package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a body to a channel without blocking, on the I/O thread of the channel.
 */
final class BodyWriter {

	private final StreamSinkChannel channel;

	private final ByteBuffer body;

	private final Runnable onWritten;

	private final Consumer<IOException> onFailure;

	private final Executor steps;

	private boolean complete;

	BodyWriter(StreamSinkChannel channel, ByteBuffer body, Runnable onWritten, Consumer<IOException> onFailure,
			Executor steps) {
		this.channel = channel;
		this.body = body;
		this.onWritten = onWritten;
		this.onFailure = onFailure;
		this.steps = steps;
	}

	void write() {
		try {
			if (writeAll()) {
				this.channel.suspendWrites();
			}
			else {
				this.channel.getWriteSetter().set((ready) -> this.steps.execute(this::write));
				this.channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			this.onFailure.accept(ex);
		}
	}

	/**
	 * Returns whether the complete body has been flushed to the connection.
	 * @return true if it was
	 */
	boolean isComplete() {
		return this.complete;
	}

	private boolean writeAll() throws IOException {
		while (this.body.hasRemaining()) {
			if (this.channel.write(this.body) == 0) {
				return false;
			}
		}
		this.onWritten.run();
		this.channel.shutdownWrites();
		this.complete = this.channel.flush();
		return this.complete;
	}

}
