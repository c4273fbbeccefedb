package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails reads of a connection after a bound of bytes that were neither followed by a
 * complete head nor part of a body. The parser of the HTTP library has no such bound and
 * keeps the I/O thread while bytes arrive, so that no timeout would end it.
 */
public final class FramingLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private static final int MAX_FRAMING_BYTES = 128 * 1024;

	private long unaccountedBytes;

	FramingLimit(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Starts counting anew, since a head or a part of a body is complete.
	 */
	void reset() {
		this.unaccountedBytes = 0;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		return (int) count(super.read(target));
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		return count(super.read(targets, offset, length));
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return count(super.transferTo(position, count, target));
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
		return count(super.transferTo(count, throughBuffer, target));
	}

	private long count(long bytes) throws IOException {
		this.unaccountedBytes += Math.max(0, bytes);
		if (this.unaccountedBytes > MAX_FRAMING_BYTES) {
			throw new IOException("the server sent more than " + MAX_FRAMING_BYTES
					+ " bytes without a complete head or a part of a body; check that it speaks HTTP/1.1");
		}
		return bytes;
	}

}
