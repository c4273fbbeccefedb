package org.rattanhead.core;

import java.util.Arrays;

/**
 * A growing buffer of bytes, to which parts are added at the end and from which bytes are
 * taken at the start.
 */
public final class PayloadBuffer {

	private static final int INITIAL_BYTES = 512;

	private byte[] bytes = new byte[0];

	private int length;

	/**
	 * Adds a part.
	 * @param part the part
	 */
	public void append(Payload part) {
		int needed = this.length + part.length();
		if (needed > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(Math.max(needed, INITIAL_BYTES), 2 * this.bytes.length));
		}
		System.arraycopy(part.bytes(), 0, this.bytes, this.length, part.length());
		this.length = needed;
	}

	/**
	 * Returns the number of bytes.
	 * @return the number
	 */
	public int length() {
		return this.length;
	}

	/**
	 * Returns one byte.
	 * @param index its position
	 * @return the byte
	 */
	public byte at(int index) {
		return this.bytes[index];
	}

	/**
	 * Removes bytes from the start.
	 * @param count their number
	 * @return the bytes
	 */
	public Payload take(int count) {
		Payload taken = new Payload(Arrays.copyOf(this.bytes, count));
		this.bytes = Arrays.copyOfRange(this.bytes, count, this.length);
		this.length -= count;
		return taken;
	}

	/**
	 * Removes all bytes.
	 */
	public void clear() {
		this.bytes = new byte[0];
		this.length = 0;
	}

}
