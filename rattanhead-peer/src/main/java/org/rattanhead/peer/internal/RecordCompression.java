package org.rattanhead.peer.internal;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.InvalidProtocolBufferException;

/**
 * Compresses records with Deflate, so that they fit into a datagram.
 */
final class RecordCompression {

	private static final int BUFFER_BYTES = 2_048;

	/** Limits decompression, so that a damaged datagram cannot exhaust the memory. */
	private static final int MAX_DECOMPRESSED_BYTES = 256 * 1024;

	private RecordCompression() {
	}

	static byte[] compress(byte[] bytes) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(bytes);
			deflater.finish();
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				out.write(buffer, 0, deflater.deflate(buffer));
			}
			return out.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	static byte[] decompress(byte[] compressed) throws InvalidProtocolBufferException {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(compressed);
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				if ((count == 0 && !inflater.finished()) || out.size() + count > MAX_DECOMPRESSED_BYTES) {
					throw new InvalidProtocolBufferException(
							"Compressed records are truncated or exceed 256 KiB; dropped");
				}
				out.write(buffer, 0, count);
			}
			return out.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new InvalidProtocolBufferException("Records are not valid Deflate data; dropped", ex);
		}
		finally {
			inflater.end();
		}
	}

}
