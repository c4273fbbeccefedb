package org.rattanhead.platform.keyed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.davidehrmann.vcdiff.VCDiffDecoderBuilder;
import com.davidehrmann.vcdiff.VCDiffEncoderBuilder;
import com.davidehrmann.vcdiff.VCDiffStreamingDecoder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.RecordDifference;

/**
 * Encodes records as differences to earlier records of their keys. Decoding checks that
 * both daemons have the same earlier value, and that the result is the value sent.
 */
final class DifferenceCodec {

	private static final Logger LOGGER = LogManager.getLogger(DifferenceCodec.class);

	/** Limits decoding, so that a damaged difference cannot exhaust the memory. */
	private static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;

	private DifferenceCodec() {
	}

	/**
	 * Encodes a record.
	 * @param base the earlier record of the key, with a value
	 * @param changed the record, with a value
	 * @return the difference
	 * @throws IllegalStateException if the values cannot be compared
	 */
	static RecordDifference encode(KeyedRecord base, KeyedRecord changed) {
		byte[] baseBytes = base.value().orElseThrow().bytes();
		byte[] bytes = changed.value().orElseThrow().bytes();
		ByteArrayOutputStream difference = new ByteArrayOutputStream();
		try {
			VCDiffEncoderBuilder.builder()
				.withDictionary(baseBytes)
				.withTargetMatches(false)
				.<OutputStream>buildSimple()
				.encode(bytes, difference);
		}
		catch (IOException ex) {
			throw new IllegalStateException("A difference could not be written to memory", ex);
		}
		return new RecordDifference(changed.key(), checksum(baseBytes), checksum(bytes),
				new Payload(difference.toByteArray()));
	}

	/**
	 * Decodes a record.
	 * @param base the record of the key that this daemon has, with a value
	 * @param difference the difference
	 * @return the record, empty if it differs from another value or is damaged
	 */
	static Optional<KeyedRecord> decode(KeyedRecord base, RecordDifference difference) {
		byte[] baseBytes = base.value().orElseThrow().bytes();
		if (checksum(baseBytes) != difference.baseChecksum()) {
			return Optional.empty();
		}
		ByteArrayOutputStream decoded = new ByteArrayOutputStream(baseBytes.length);
		try {
			byte[] encoded = difference.difference().bytes();
			// Without matches in earlier windows the decoder keeps no second copy.
			VCDiffStreamingDecoder decoder = VCDiffDecoderBuilder.builder()
				.withMaxTargetFileSize(MAX_VALUE_BYTES)
				.withMaxTargetWindowSize(MAX_VALUE_BYTES)
				.withAllowTargetMatches(false)
				.buildStreaming();
			decoder.startDecoding(ByteBuffer.wrap(baseBytes));
			decoder.decodeChunk(ByteBuffer.wrap(encoded), decoded);
			decoder.finishDecoding();
		}
		catch (IOException | RuntimeException ex) {
			LOGGER.warn("platform: the difference of record {} cannot be decoded; reading it from the store: {}",
					difference.key(), ex.getMessage());
			return Optional.empty();
		}
		byte[] bytes = decoded.toByteArray();
		return (checksum(bytes) == difference.checksum())
				? Optional.of(new KeyedRecord(difference.key(), Optional.of(new Payload(bytes)))) : Optional.empty();
	}

	private static int checksum(byte[] bytes) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes);
		return (int) checksum.getValue();
	}

}
