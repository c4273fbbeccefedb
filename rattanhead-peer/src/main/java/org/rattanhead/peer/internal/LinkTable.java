package org.rattanhead.peer.internal;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import io.netty.channel.Channel;

import org.rattanhead.messages.PeerFrame;

/**
 * The open links of one direction, by the name of the other daemon. A new link to the
 * same daemon replaces and closes the former one.
 */
public final class LinkTable {

	private static final int LENGTH_BYTES = 4;

	private final LongAdder sentBytes = new LongAdder();

	private final Map<String, Channel> channels = new ConcurrentHashMap<>();

	void put(String host, Channel channel) {
		Channel previous = this.channels.put(host, channel);
		if (previous != null && previous != channel) {
			previous.close();
		}
	}

	boolean remove(String host, Channel channel) {
		return this.channels.remove(host, channel);
	}

	/**
	 * Writes a frame.
	 * @param host the other daemon
	 * @param frame the frame
	 * @return false if there is no link or its write buffer is full
	 */
	public boolean write(String host, PeerFrame frame) {
		Channel channel = this.channels.get(host);
		if (channel == null || !channel.isWritable()) {
			return false;
		}
		this.sentBytes.add(frame.getSerializedSize() + LENGTH_BYTES);
		channel.writeAndFlush(frame, channel.voidPromise());
		return true;
	}

	/**
	 * Writes a frame on every link whose write buffer is not full.
	 * @param frame the frame
	 */
	public void writeAll(PeerFrame frame) {
		this.channels.keySet().forEach((host) -> write(host, frame));
	}

	/**
	 * Returns the number of bytes written on these links, without hello and ping frames.
	 * @return the number of bytes since the start
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	/**
	 * Closes a link.
	 * @param host the other daemon
	 */
	public void close(String host) {
		Channel channel = this.channels.get(host);
		if (channel != null) {
			channel.close();
		}
	}

}
