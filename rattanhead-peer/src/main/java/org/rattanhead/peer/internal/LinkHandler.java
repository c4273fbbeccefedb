package org.rattanhead.peer.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.messages.Hello;
import org.rattanhead.messages.PeerFrame;
import org.rattanhead.messages.Ping;
import org.rattanhead.peer.PeerListener;
import org.rattanhead.peer.PeerSettings;

/**
 * Handles the frames of one link. Both ends send pings, so a ping needs no reply; a link
 * on which no frame arrives in time is closed. A frame that the listener cannot accept is
 * delivered again later, and reading from the link is paused until then.
 */
public final class LinkHandler extends SimpleChannelInboundHandler<PeerFrame> {

	private static final Logger LOGGER = LogManager.getLogger(LinkHandler.class);

	private static final int PROTOCOL_VERSION = 1;

	private static final long REDELIVERY_DELAY_MILLIS = 2;

	private final PeerSettings settings;

	private final LinkDirection direction;

	private final LinkTable table;

	private final PeerListener listener;

	private final Map<PeerFrame.BodyCase, FrameHandler> handlers;

	private final Deque<PeerFrame> undelivered = new ArrayDeque<>();

	private String host = "";

	private long lastFrameNanos;

	private long pingSequence;

	/**
	 * Creates the handler of one link.
	 * @param settings the settings
	 * @param direction which end opened the link
	 * @param table the open links of that direction
	 * @param listener receives events and frames
	 */
	public LinkHandler(PeerSettings settings, LinkDirection direction, LinkTable table, PeerListener listener) {
		this.settings = settings;
		this.direction = direction;
		this.table = table;
		this.listener = listener;
		this.handlers = FrameHandlers.of(listener);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.lastFrameNanos = System.nanoTime();
		context.writeAndFlush(PeerFrame.newBuilder()
			.setHello(Hello.newBuilder().setProtocolVersion(PROTOCOL_VERSION).setHost(this.settings.self()))
			.build());
		context.executor()
			.scheduleAtFixedRate(() -> ping(context), this.settings.pingMillis(), this.settings.pingMillis(),
					TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
		this.lastFrameNanos = System.nanoTime();
		switch (frame.getBodyCase()) {
			case HELLO -> handleHello(context, frame.getHello());
			case PING -> LOGGER.trace("peer: ping {} from {}", frame.getPing().getSequence(), this.host);
			default -> deliver(context, frame);
		}
	}

	private void handleHello(ChannelHandlerContext context, Hello hello) {
		if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
			LOGGER.error("peer: {} uses protocol version {}, expected {}; run the same release on both",
					hello.getHost(), hello.getProtocolVersion(), PROTOCOL_VERSION);
			context.close();
			return;
		}
		this.host = hello.getHost();
		this.table.put(this.host, context.channel());
		if (this.direction == LinkDirection.DIALLED) {
			LOGGER.info("peer: the link to {} is up", this.host);
			this.listener.onLinkUp(this.host);
		}
	}

	private void deliver(ChannelHandlerContext context, PeerFrame frame) {
		FrameHandler handler = this.handlers.get(frame.getBodyCase());
		if (this.host.isEmpty() || handler == null) {
			LOGGER.error("peer: closing a link after an unexpected frame; run the same release on all daemons");
			context.close();
			return;
		}
		boolean delivered = this.undelivered.isEmpty() && handler.handle(this.host, frame);
		if (!delivered) {
			this.undelivered.add(frame);
			pause(context);
		}
	}

	private void pause(ChannelHandlerContext context) {
		if (this.undelivered.size() == 1) {
			context.channel().config().setAutoRead(false);
			context.executor().schedule(() -> redeliver(context), REDELIVERY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void redeliver(ChannelHandlerContext context) {
		while (!this.undelivered.isEmpty()) {
			PeerFrame frame = this.undelivered.peek();
			if (!this.handlers.get(frame.getBodyCase()).handle(this.host, frame)) {
				context.executor().schedule(() -> redeliver(context), REDELIVERY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
				return;
			}
			this.undelivered.poll();
		}
		context.channel().config().setAutoRead(true);
	}

	private void ping(ChannelHandlerContext context) {
		long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastFrameNanos);
		if (idleMillis > this.settings.idleTimeoutMillis()) {
			LOGGER.warn("peer: no frame on the link to {} for {} ms; closing it", this.host, idleMillis);
			context.close();
			return;
		}
		context
			.writeAndFlush(PeerFrame.newBuilder().setPing(Ping.newBuilder().setSequence(this.pingSequence++)).build());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.table.remove(this.host, context.channel())) {
			LOGGER.info("peer: the {} link to {} is down", this.direction, this.host);
			notifyLinkDown();
		}
	}

	private void notifyLinkDown() {
		if (this.direction == LinkDirection.DIALLED) {
			this.listener.onLinkDown(this.host);
		}
		else {
			this.listener.onEntryDaemonLost(this.host);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOGGER.debug("peer: the link to {} failed: {}", this.host, cause.toString());
		context.close();
	}

}
