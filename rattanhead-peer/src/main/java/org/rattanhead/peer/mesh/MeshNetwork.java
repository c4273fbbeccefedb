package org.rattanhead.peer.mesh;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.messages.MeshDatagram;
import org.rattanhead.peer.internal.DatagramCheck;
import org.rattanhead.peer.internal.MeshCodec;
import org.rattanhead.peer.internal.StreamMessageCodec;

/**
 * Sends and receives datagrams. Sending never blocks. A datagram may be lost; the next
 * heartbeat repeats the complete load of its sender.
 */
public final class MeshNetwork implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(MeshNetwork.class);

	/**
	 * The maximum length of a UDP datagram. Netty's default buffer of 2 kB truncates the
	 * heartbeat of a busy daemon.
	 */
	private static final int MAX_DATAGRAM_BYTES = 65_535;

	private static final int PAGE_BYTES = 8 * 1024;

	/**
	 * A chunk of the buffer pool is a page shifted left by this. The default allocator
	 * allocates and clears memory anew for each datagram.
	 */
	private static final int CHUNK_ORDER = 4;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("mesh", true),
			NioIoHandler.newFactory());

	private final String self;

	private final Channel channel;

	/**
	 * Starts listening for datagrams.
	 * @param self the host of this daemon
	 * @param address the address on which datagrams arrive
	 * @param listener receives the datagrams
	 */
	public MeshNetwork(String self, InetSocketAddress address, MeshListener listener) {
		this.self = self;
		this.channel = new Bootstrap().group(this.group)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.ALLOCATOR, new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER))
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
			.handler(receiver(listener))
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Sends a heartbeat.
	 * @param receivers the daemons to send it to
	 * @param heartbeat the heartbeat
	 */
	public void sendHeartbeat(List<Member> receivers, MemberHeartbeat heartbeat) {
		send(receivers, MeshCodec.encodeHeartbeat(this.self, heartbeat));
	}

	/**
	 * Sends the work that was placed.
	 * @param receivers the daemons to send it to
	 * @param entries the work
	 */
	public void sendLoadStarted(List<Member> receivers, List<LoadEntry> entries) {
		send(receivers, MeshCodec.encodeLoadStarted(this.self, entries));
	}

	/**
	 * Sends the keys of work that ended.
	 * @param receivers the daemons to send it to
	 * @param keys the keys of the work
	 */
	public void sendLoadEnded(List<Member> receivers, List<String> keys) {
		send(receivers, MeshCodec.encodeLoadEnded(this.self, keys));
	}

	/**
	 * Sends what an instance said of itself.
	 * @param receivers the daemons
	 * @param instance the id of the instance
	 * @param incarnation the incarnation that said it
	 * @param notice what it said
	 */
	public void sendNotice(List<Member> receivers, String instance, long incarnation, ServerNotice notice) {
		send(receivers, MeshCodec.encodeNotice(this.self, instance, incarnation, notice));
	}

	/**
	 * Sends the limits that instances named, or that ended.
	 * @param receivers the daemons to send them to
	 * @param reports the reports
	 */
	public void sendLimits(List<Member> receivers, List<LimitReport> reports) {
		send(receivers, MeshCodec.encodeLimits(this.self, reports));
	}

	/**
	 * Sends the crashes and answers of suspects.
	 * @param receivers the daemons to send them to
	 * @param reports the reports
	 */
	public void sendCrashes(List<Member> receivers, List<CrashReport> reports) {
		send(receivers, MeshCodec.encodeCrashes(this.self, reports));
	}

	/**
	 * Sends the records that were read from a stream of the platform.
	 * @param receivers the daemons to send it to
	 * @param update the update
	 */
	public void sendStreamUpdate(List<Member> receivers, StreamUpdate update) {
		send(receivers, StreamMessageCodec.encodeUpdate(this.self, update));
	}

	/**
	 * Requests the newest records of a stream.
	 * @param receivers the daemons to request them from
	 * @param stream the stream
	 */
	public void sendSnapshotRequest(List<Member> receivers, KeyedStream stream) {
		send(receivers, StreamMessageCodec.encodeRequest(this.self, stream));
	}

	/**
	 * Sends the newest records of a stream.
	 * @param receivers the daemons to send them to
	 * @param snapshot the newest record of each key
	 */
	public void sendSnapshot(List<Member> receivers, StreamUpdate snapshot) {
		send(receivers, StreamMessageCodec.encodeSnapshot(this.self, snapshot));
	}

	private void send(List<Member> receivers, MeshDatagram datagram) {
		byte[] bytes = datagram.toByteArray();
		for (Member member : receivers) {
			this.channel.write(
					new DatagramPacket(Unpooled.wrappedBuffer(bytes), HostAddress.parse(member.meshAddress())),
					this.channel.voidPromise());
		}
		this.channel.flush();
	}

	private static SimpleChannelInboundHandler<DatagramPacket> receiver(MeshListener listener) {
		return new SimpleChannelInboundHandler<>() {
			@Override
			protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
				try {
					byte[] bytes = new byte[packet.content().readableBytes()];
					packet.content().readBytes(bytes);
					MeshCodec.deliver(DatagramCheck.check(MeshDatagram.parseFrom(bytes)), listener);
				}
				catch (InvalidProtocolBufferException ex) {
					LOGGER.warn("peer: dropped a datagram from {} that could not be decoded", packet.sender());
				}
			}

			@Override
			public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
				LOGGER.debug("peer: a datagram could not be sent or read: {}", cause.getMessage());
			}
		};
	}

	@Override
	public void close() {
		this.channel.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

}
