package org.rattanhead.peer.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.RecordDifference;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.messages.MeshDatagram;
import org.rattanhead.messages.MeshRecord;
import org.rattanhead.messages.MeshRecordDifference;
import org.rattanhead.messages.MeshRecords;
import org.rattanhead.messages.MeshStreamNews;
import org.rattanhead.peer.mesh.MeshListener;

/**
 * Encodes and decodes the messages about streams that daemons send each other. Requests
 * for snapshots, snapshots and updates with differences have the form of an update with a
 * prefix before the name of the stream. Earlier versions do not know such a stream and
 * ignore them.
 */
public final class StreamMessageCodec {

	private static final String REQUEST_PREFIX = "request/";

	private static final String SNAPSHOT_PREFIX = "snapshot/";

	private static final String DIFFERENCE_PREFIX = "difference/";

	private StreamMessageCodec() {
	}

	/**
	 * Encodes an update of a stream.
	 * @param host the host of the sender
	 * @param update the update
	 * @return the datagram
	 */
	public static MeshDatagram encodeUpdate(String host, StreamUpdate update) {
		return encode(host, update.differences().isEmpty() ? "" : DIFFERENCE_PREFIX, update);
	}

	/**
	 * Encodes the newest records of a stream.
	 * @param host the host of the sender
	 * @param snapshot the newest record of each key
	 * @return the datagram
	 */
	public static MeshDatagram encodeSnapshot(String host, StreamUpdate snapshot) {
		return encode(host, SNAPSHOT_PREFIX, snapshot);
	}

	/**
	 * Encodes a request for the newest records of a stream.
	 * @param host the host of the sender
	 * @param stream the stream
	 * @return the datagram
	 */
	public static MeshDatagram encodeRequest(String host, KeyedStream stream) {
		return encode(host, REQUEST_PREFIX,
				new StreamUpdate(stream, StreamPosition.of(0), StreamPosition.of(0), List.of()));
	}

	private static MeshDatagram encode(String host, String prefix, StreamUpdate update) {
		MeshRecords.Builder records = MeshRecords.newBuilder();
		for (KeyedRecord record : update.records()) {
			MeshRecord.Builder encodedRecord = MeshRecord.newBuilder().setKey(record.key());
			record.value().ifPresent((value) -> encodedRecord.setValue(ByteString.copyFrom(value.bytes())));
			records.addRecords(encodedRecord);
		}
		for (RecordDifference difference : update.differences()) {
			records.addDifferences(MeshRecordDifference.newBuilder()
				.setKey(difference.key())
				.setBaseChecksum(difference.baseChecksum())
				.setChecksum(difference.checksum())
				.setDifference(ByteString.copyFrom(difference.difference().bytes())));
		}
		MeshStreamNews encoded = MeshStreamNews.newBuilder()
			.setStream(prefix + update.stream().name())
			.setEra(update.next().era())
			.setFromOffset(update.from().offset())
			.setNextOffset(update.next().offset())
			.setPackedRecords(ByteString.copyFrom(RecordCompression.compress(records.build().toByteArray())))
			.build();
		return MeshDatagram.newBuilder().setHost(host).setStreamNews(encoded).build();
	}

	/**
	 * Decodes a message and passes it to the listener.
	 * @param host the host of the sender
	 * @param message the message
	 * @param listener receives the content
	 * @throws InvalidProtocolBufferException if the content is damaged
	 */
	static void deliver(String host, MeshStreamNews message, MeshListener listener)
			throws InvalidProtocolBufferException {
		MeshRecords records = MeshRecords
			.parseFrom(RecordCompression.decompress(message.getPackedRecords().toByteArray()));
		withStream(message, DIFFERENCE_PREFIX,
				(stream) -> listener.onStreamUpdate(host, decode(stream, message, records)));
		withStream(message, "", (stream) -> listener.onStreamUpdate(host, decode(stream, message, records)));
		withStream(message, SNAPSHOT_PREFIX, (stream) -> listener.onSnapshot(decode(stream, message, records)));
		withStream(message, REQUEST_PREFIX, (stream) -> listener.onSnapshotRequest(host, stream));
	}

	/**
	 * Streams unknown to this version are ignored; a later version may have sent them.
	 * @param message the message
	 * @param prefix the expected prefix before the name of the stream
	 * @param action receives the stream if the message has that prefix
	 */
	private static void withStream(MeshStreamNews message, String prefix, Consumer<KeyedStream> action) {
		Arrays.stream(KeyedStream.values())
			.filter((stream) -> message.getStream().equals(prefix + stream.name()))
			.forEach(action);
	}

	private static StreamUpdate decode(KeyedStream stream, MeshStreamNews message, MeshRecords records) {
		StreamPosition from = new StreamPosition(message.getEra(), message.getFromOffset());
		return new StreamUpdate(stream, from, from.withOffset(message.getNextOffset()),
				records.getRecordsList().stream().map(StreamMessageCodec::decode).toList(),
				records.getDifferencesList().stream().map(StreamMessageCodec::decode).toList());
	}

	private static RecordDifference decode(MeshRecordDifference difference) {
		return new RecordDifference(difference.getKey(), difference.getBaseChecksum(), difference.getChecksum(),
				new Payload(difference.getDifference().toByteArray()));
	}

	private static KeyedRecord decode(MeshRecord record) {
		return new KeyedRecord(record.getKey(),
				record.hasValue() ? Optional.of(new Payload(record.getValue().toByteArray())) : Optional.empty());
	}

}
