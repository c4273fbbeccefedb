package org.rattanhead.peer.mesh;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.forward.ReportedCrash;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.RecordDifference;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.messages.MeshDatagram;
import org.rattanhead.messages.MeshStreamNews;
import org.rattanhead.peer.internal.MeshCodec;
import org.rattanhead.peer.internal.StreamMessageCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that datagrams arrive unchanged, and that a datagram that cannot be decoded is
 * dropped without affecting later ones.
 */
class MeshNetworkTests {

	private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();

	private final MeshListener listener = new MeshListener() {
		@Override
		public void onHeartbeat(MemberHeartbeat heartbeat) {
			MeshNetworkTests.this.received.add(heartbeat);
		}

		@Override
		public void onLoadStarted(String host, List<LoadEntry> entries) {
			MeshNetworkTests.this.received.add(entries);
		}

		@Override
		public void onLoadEnded(String host, List<String> keys) {
			MeshNetworkTests.this.received.add(keys);
		}

		@Override
		public void onCrashes(List<CrashReport> reports) {
			MeshNetworkTests.this.received.add(reports);
		}

		@Override
		public void onNotice(String instance, long incarnation, ServerNotice notice) {
			MeshNetworkTests.this.received.add(List.of(instance, incarnation, notice));
		}

		@Override
		public void onLimits(List<LimitReport> reports) {
			MeshNetworkTests.this.received.add(reports);
		}

		@Override
		public void onStreamUpdate(String host, StreamUpdate update) {
			MeshNetworkTests.this.received.add(update);
		}

		@Override
		public void onSnapshotRequest(String host, KeyedStream stream) {
			MeshNetworkTests.this.received.add(List.of(host, stream));
		}

		@Override
		public void onSnapshot(StreamUpdate snapshot) {
			MeshNetworkTests.this.received.add(List.of("snapshot", snapshot));
		}
	};

	@ParameterizedTest(name = "{0} entries")
	@ValueSource(ints = { 0, 1, 30, 300 })
	void deliversHeartbeatOfAnySize(int entries) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		MemberHeartbeat heartbeat = new MemberHeartbeat(member, true, true, 7, load(entries), crashes(entries),
				List.of(member), limits(entries), (entries > 0) ? OptionalLong.of(entries) : OptionalLong.empty());
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendHeartbeat(List.of(member), heartbeat);
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(heartbeat);
		}
	}

	@ParameterizedTest(name = "{0} reports")
	@ValueSource(ints = { 0, 1, 32 })
	void deliversCrashes(int reports) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendCrashes(List.of(member), crashes(reports));
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(crashes(reports));
		}
	}

	@ParameterizedTest(name = "{0} reports")
	@ValueSource(ints = { 0, 1, 32 })
	void deliversLimits(int reports) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendLimits(List.of(member), limits(reports));
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(limits(reports));
		}
	}

	private static List<LimitReport> limits(int count) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new LimitReport("i-" + index, 1_796_481_790_273L,
					(index % 2 == 0) ? OptionalDouble.of(1.4 * index) : OptionalDouble.empty(), index))
			.toList();
	}

	@ParameterizedTest(name = "{0}, leaving: {2}, quiet for {3} ms")
	@CsvSource({ "i-1, 7, true, 0", "i-1, 0, false, 700", "i-2, 1796481790273, true, 20000" })
	void deliversNotice(String instance, long incarnation, boolean leaving, long quietMillis) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		ServerNotice notice = new ServerNotice(leaving, quietMillis);
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendNotice(List.of(member), instance, incarnation, notice);
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(List.of(instance, incarnation, notice));
		}
	}

	@ParameterizedTest(name = "update of {0}, {1} records of {2} bytes")
	@CsvSource({ "OPERATORS, 0, 0", "OPERATORS, 1, 0", "INSTANCES, 2, 1", "MEMBERS, 9, 1", "OPERATORS, 1, 30000" })
	void deliversStreamUpdate(KeyedStream stream, int count, int bytes) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		byte[] value = new byte[bytes];
		new Random(1).nextBytes(value);
		List<KeyedRecord> records = IntStream.range(0, count)
			.mapToObj((index) -> new KeyedRecord("k" + index,
					(index % 2 == 0) ? Optional.of(new Payload(value)) : Optional.empty()))
			.toList();
		StreamUpdate update = new StreamUpdate(stream, new StreamPosition(bytes, 3),
				new StreamPosition(bytes, 3 + count), records);
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendStreamUpdate(List.of(member), update);
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(update);
		}
	}

	/**
	 * Guards against CONFIG: differences that earlier versions take for records without a
	 * value.
	 */
	@ParameterizedTest(name = "{0}, {1} records, {2} differences of {3} bytes")
	@CsvSource({ "OPERATORS, 0, 1, 200", "OPERATORS, 2, 1, 4096", "MEMBERS, 1, 3, 1" })
	void deliversDifferences(KeyedStream stream, int count, int differences, int bytes) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		StreamPosition from = new StreamPosition(2, 9);
		StreamUpdate update = new StreamUpdate(stream, from, from.withOffset(9 + count + differences),
				IntStream.range(0, count)
					.mapToObj((index) -> new KeyedRecord("k" + index, Optional.of(Payload.of("v" + index))))
					.toList(),
				IntStream.range(0, differences)
					.mapToObj((index) -> new RecordDifference("d" + index, -index, Integer.MAX_VALUE - index,
							new Payload(new byte[bytes])))
					.toList());
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendStreamUpdate(List.of(member), update);
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(update);
		}
		assertThat(KeyedStream.values()).noneMatch((known) -> known.name()
			.equals(StreamMessageCodec.encodeUpdate("peer", update).getStreamNews().getStream()));
	}

	/** Guards against requests and snapshots that earlier versions take for updates. */
	@ParameterizedTest(name = "{0}, {1} records")
	@CsvSource({ "OPERATORS, 1", "INSTANCES, 60", "MEMBERS, 0" })
	void deliversSnapshotsAndRequests(KeyedStream stream, int count) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		List<KeyedRecord> records = IntStream.range(0, count)
			.mapToObj((index) -> new KeyedRecord("k" + index, Optional.of(Payload.of("v" + index))))
			.toList();
		StreamPosition next = new StreamPosition(count, 9);
		StreamUpdate snapshot = new StreamUpdate(stream, next, next, records);
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener)) {
			network.sendSnapshotRequest(List.of(member), stream);
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(List.of("peer", stream));
			network.sendSnapshot(List.of(member), snapshot);
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(List.of("snapshot", snapshot));
		}
		assertThat(KeyedStream.values()).noneMatch((known) -> known.name()
			.equals(StreamMessageCodec.encodeSnapshot("peer", snapshot).getStreamNews().getStream()));
		assertThat(KeyedStream.values()).noneMatch((known) -> known.name()
			.equals(StreamMessageCodec.encodeRequest("peer", stream).getStreamNews().getStream()));
	}

	@ParameterizedTest(name = "{0} bytes that are no records")
	@ValueSource(ints = { 0, 1, 500 })
	void dropsDamagedStreamUpdate(int length) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		MeshStreamNews damaged = MeshStreamNews.newBuilder()
			.setStream(KeyedStream.OPERATORS.name())
			.setPackedRecords(ByteString.copyFrom(new byte[length]))
			.build();
		byte[] bytes = MeshDatagram.newBuilder().setHost("peer").setStreamNews(damaged).build().toByteArray();
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener);
				DatagramSocket socket = new DatagramSocket()) {
			socket.send(new DatagramPacket(bytes, bytes.length, address));
			network.sendLoadEnded(List.of(member), List.of("k"));
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(List.of("k"));
		}
	}

	@ParameterizedTest(name = "{0} bytes")
	@ValueSource(ints = { 0, 1, 500 })
	void dropsUndecodableDatagrams(int length) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener);
				DatagramSocket socket = new DatagramSocket()) {
			byte[] bytes = new byte[length];
			Arrays.fill(bytes, (byte) 0xFF);
			socket.send(new DatagramPacket(bytes, length, address));
			network.sendLoadStarted(List.of(member), load(2));
			network.sendLoadEnded(List.of(member), List.of("k"));
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(load(2));
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(List.of("k"));
		}
	}

	/**
	 * Guards against LOST: names of any length were kept. An address that cannot be
	 * parsed ended each sending of heartbeats.
	 */
	@ParameterizedTest(name = "name of {0} characters, {1}, {2}")
	@CsvSource({ "0, 10.0.0.1:80, 10.0.0.1:90", "256, 10.0.0.1:80, 10.0.0.1:90", "60000, 10.0.0.1:80, 10.0.0.1:90",
			"4, no address, 10.0.0.1:90", "4, 10.0.0.1:80, no address", "4, 10.0.0.1:80, ''" })
	void dropsHeartbeatOfInvalidSender(int nameLength, String callersAddress, String meshAddress) throws Exception {
		InetSocketAddress address = freeAddress();
		Member member = new Member("peer", 5, "10.0.0.1:80", "127.0.0.1:" + address.getPort(), 1_500);
		MemberHeartbeat heartbeat = new MemberHeartbeat(new Member("", 5, callersAddress, meshAddress, 1_500), true,
				true, 7, List.of(), List.of(), List.of());
		byte[] bytes = MeshCodec.encodeHeartbeat("x".repeat(nameLength), heartbeat).toByteArray();
		try (MeshNetwork network = new MeshNetwork("peer", address, this.listener);
				DatagramSocket socket = new DatagramSocket()) {
			socket.send(new DatagramPacket(bytes, bytes.length, address));
			network.sendLoadEnded(List.of(member), List.of("k"));
			assertThat(this.received.poll(5, TimeUnit.SECONDS)).isEqualTo(List.of("k"));
		}
	}

	private static List<CrashReport> crashes(int reports) {
		return IntStream.range(0, reports)
			.mapToObj((index) -> new CrashReport(-index, List.of(new ReportedCrash(-9, index), new ReportedCrash(8, 0)),
					(index % 2 == 0) ? OptionalLong.empty() : OptionalLong.of(index / 3), 60_000L * index))
			.toList();
	}

	private static List<LoadEntry> load(int entries) {
		return IntStream.range(0, entries)
			.mapToObj((index) -> new LoadEntry("front-thies-a-1-mo5liv5x-" + index + ".1", "i-0123456789", 6_000, 34,
					250, 1.4, 9_000, index % 2 == 0, -index))
			.toList();
	}

	private static InetSocketAddress freeAddress() throws Exception {
		try (DatagramSocket socket = new DatagramSocket(0)) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

}
