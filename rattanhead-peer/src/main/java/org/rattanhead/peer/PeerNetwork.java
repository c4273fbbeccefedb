package org.rattanhead.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.messages.Goodbye;
import org.rattanhead.messages.PeerFrame;
import org.rattanhead.peer.internal.ClaimCodec;
import org.rattanhead.peer.internal.DigestCodec;
import org.rattanhead.peer.internal.LinkDirection;
import org.rattanhead.peer.internal.LinkHandler;
import org.rattanhead.peer.internal.LinkPipeline;
import org.rattanhead.peer.internal.LinkTable;
import org.rattanhead.peer.internal.OrderCodec;
import org.rattanhead.peer.internal.SignalCodec;

/**
 * Dials and accepts the links and sends frames on them. Sending never blocks: a frame for
 * a link whose write buffer is full is refused.
 */
public final class PeerNetwork implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(PeerNetwork.class);

	private static final int IO_THREADS = 2;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long REDIAL_MILLIS = 200;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024 * 1024, 64 * 1024 * 1024);

	private final PeerSettings settings;

	private final PeerListener listener;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(IO_THREADS,
			new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());

	private final LinkTable dialled = new LinkTable();

	private final LinkTable accepted = new LinkTable();

	private final Map<String, Host> configuredHosts = new ConcurrentHashMap<>();

	private final Channel server;

	private volatile boolean closed;

	/**
	 * Starts listening for links of other daemons.
	 * @param settings the settings
	 * @param listener receives events and frames
	 */
	public PeerNetwork(PeerSettings settings, PeerListener listener) {
		this.settings = settings;
		this.listener = listener;
		this.server = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.childHandler(initializer(LinkDirection.ACCEPTED, this.accepted))
			.bind(settings.listenAddress())
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Sets the daemons that this one dials, and dials again after a link is lost. A link
	 * to a daemon that is no longer listed stays open until it is lost.
	 * @param hosts the daemons, without this one
	 */
	public void setHosts(List<Host> hosts) {
		Map<String, Host> hostsByName = hosts.stream().collect(Collectors.toMap(Host::name, (host) -> host));
		this.configuredHosts.keySet().removeIf((name) -> !hostsByName.containsKey(name));
		hostsByName.forEach((name, host) -> {
			Host previous = this.configuredHosts.put(name, host);
			if (previous == null) {
				dial(host);
			}
		});
	}

	/**
	 * Sends an order on the link to a lease holder.
	 * @param host the lease holder
	 * @param order the order
	 * @param nowNanos the time on the monotonic clock
	 * @return false if there is no link or its write buffer is full; nothing was sent
	 */
	public boolean send(String host, WorkOrder order, long nowNanos) {
		return this.dialled.write(host, OrderCodec.encode(order, nowNanos));
	}

	/**
	 * Sends a signal on the link that an entry daemon dialled.
	 * @param host the entry daemon
	 * @param signal the signal
	 * @return false if there is no link or its write buffer is full; nothing was sent
	 */
	public boolean send(String host, WorkSignal signal) {
		return this.accepted.write(host, SignalCodec.encode(signal));
	}

	/**
	 * Sends an order about a claim on the link to its writer.
	 * @param host the writer of the claim
	 * @param order the order
	 * @param nowNanos the time on the monotonic clock
	 * @return false if there is no link or its write buffer is full; nothing was sent
	 */
	public boolean send(String host, ClaimOrder order, long nowNanos) {
		return this.dialled.write(host, ClaimCodec.encode(order, nowNanos));
	}

	/**
	 * Sends a verdict on the link that an entry daemon dialled.
	 * @param host the entry daemon
	 * @param verdict the verdict
	 * @return false if there is no link or its write buffer is full; nothing was sent
	 */
	public boolean send(String host, ClaimVerdict verdict) {
		return this.accepted.write(host, ClaimCodec.encode(verdict));
	}

	/**
	 * Closes the link that an entry daemon dialled. Used when a signal cannot be sent to
	 * it, since the rest of the answer would be incomplete.
	 * @param host the entry daemon
	 */
	public void disconnect(String host) {
		this.accepted.close(host);
	}

	/**
	 * Publishes digests on all links that other daemons dialled.
	 * @param digests the digests
	 */
	public void publish(List<UpstreamDigest> digests) {
		this.accepted.writeAll(DigestCodec.encode(digests));
	}

	/**
	 * Announces the shutdown of this daemon on all links that other daemons dialled.
	 */
	public void sendGoodbye() {
		this.accepted.writeAll(PeerFrame.newBuilder().setGoodbye(Goodbye.getDefaultInstance()).build());
	}

	/**
	 * Returns the number of bytes sent to other daemons, without hello and ping frames.
	 * @return the number of bytes since the start
	 */
	public long sentBytes() {
		return this.dialled.sentBytes() + this.accepted.sentBytes();
	}

	private void dial(Host host) {
		if (this.closed || !host.equals(this.configuredHosts.get(host.name()))) {
			return;
		}
		ChannelFuture future = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.handler(initializer(LinkDirection.DIALLED, this.dialled))
			.connect(HostAddress.parse(host.peerAddress()));
		future.channel().closeFuture().addListener((ignored) -> scheduleRedial(host));
	}

	private void scheduleRedial(Host host) {
		if (!this.closed) {
			LOGGER.debug("peer: dialling {} again in {} ms", host.name(), REDIAL_MILLIS);
			this.group.schedule(() -> dial(this.configuredHosts.getOrDefault(host.name(), host)), REDIAL_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private ChannelHandler initializer(LinkDirection direction, LinkTable table) {
		return new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				LinkPipeline.configure(channel,
						new LinkHandler(PeerNetwork.this.settings, direction, table, PeerNetwork.this.listener));
			}
		};
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
