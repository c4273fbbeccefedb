package org.rattanhead.core;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * An immutable sequence of bytes. The array is shared rather than copied and must not be
 * modified.
 *
 * @param bytes the bytes
 */
public record Payload(byte[] bytes) {

	/** The empty payload. */
	public static final Payload EMPTY = new Payload(new byte[0]);

	/**
	 * Encodes text as UTF-8.
	 * @param text the text to encode
	 * @return the encoded text
	 */
	public static Payload of(String text) {
		return new Payload(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Concatenates payloads into a new one.
	 * @param parts the payloads, in order
	 * @return a payload with a copy of all bytes
	 */
	public static Payload join(List<Payload> parts) {
		byte[] all = new byte[parts.stream().mapToInt(Payload::length).sum()];
		int offset = 0;
		for (Payload part : parts) {
			System.arraycopy(part.bytes, 0, all, offset, part.length());
			offset += part.length();
		}
		return new Payload(all);
	}

	/**
	 * Decodes the bytes as UTF-8.
	 * @return the decoded text
	 */
	public String text() {
		return new String(this.bytes, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the length in bytes.
	 * @return the number of bytes
	 */
	public int length() {
		return this.bytes.length;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Payload that && Arrays.equals(this.bytes, that.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

	@Override
	public String toString() {
		return "Payload[" + this.bytes.length + " bytes]";
	}

}
