package org.rattanhead.peer.internal;

import io.netty.channel.Channel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

import org.rattanhead.messages.PeerFrame;

/**
 * Sets up the framing of a link: a length of four bytes, then a protobuf message.
 */
public final class LinkPipeline {

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 72 * 1024 * 1024;

	private LinkPipeline() {
	}

	/**
	 * Adds the codecs and the handler.
	 * @param channel the channel of the link
	 * @param handler handles its frames
	 */
	public static void configure(Channel channel, LinkHandler handler) {
		channel.pipeline()
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
			.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(handler);
	}

}
