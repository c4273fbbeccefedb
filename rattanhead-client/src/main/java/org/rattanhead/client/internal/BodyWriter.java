package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a body to a channel without blocking, on the I/O thread of the channel.
 */
final class BodyWriter {

	private final StreamSinkChannel channel;

	private final ByteBuffer body;

	private final Consumer<IOException> onBroken;

	private boolean done;

	BodyWriter(StreamSinkChannel channel, ByteBuffer body, Consumer<IOException> onBroken) {
		this.channel = channel;
		this.body = body;
		this.onBroken = onBroken;
	}

	void write() {
		try {
			if (writeAll()) {
				this.channel.suspendWrites();
			}
			else {
				this.channel.getWriteSetter().set((ready) -> write());
				this.channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			this.onBroken.accept(ex);
		}
	}

	/**
	 * Returns whether the complete body has been flushed to the connection.
	 * @return true if it was
	 */
	boolean done() {
		return this.done;
	}

	private boolean writeAll() throws IOException {
		while (this.body.hasRemaining()) {
			if (this.channel.write(this.body) == 0) {
				return false;
			}
		}
		this.channel.shutdownWrites();
		this.done = this.channel.flush();
		return this.done;
	}

}
