package org.rattanhead.peer.internal;

import java.util.List;
import java.util.OptionalLong;

import com.google.protobuf.InvalidProtocolBufferException;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.messages.MeshBeat;
import org.rattanhead.messages.MeshCrashes;
import org.rattanhead.messages.MeshDatagram;
import org.rattanhead.messages.MeshLimits;
import org.rattanhead.messages.MeshLoad;
import org.rattanhead.messages.MeshLoadEnded;
import org.rattanhead.messages.MeshLoadStarted;
import org.rattanhead.messages.MeshMember;
import org.rattanhead.messages.MeshNotice;
import org.rattanhead.peer.mesh.MeshListener;

/**
 * Encodes and decodes the heartbeats and load updates that daemons send each other.
 * Messages about streams are left to {@link StreamMessageCodec}.
 */
public final class MeshCodec {

	private MeshCodec() {
	}

	/**
	 * Encodes a heartbeat.
	 * @param host the host of the sender
	 * @param heartbeat the heartbeat
	 * @return the datagram
	 */
	public static MeshDatagram encodeHeartbeat(String host, MemberHeartbeat heartbeat) {
		MeshBeat.Builder builder = MeshBeat.newBuilder()
			.setStartedMillis(heartbeat.member().startedMillis())
			.setCallersAddress(heartbeat.member().callersAddress())
			.setMeshAddress(heartbeat.member().meshAddress())
			.setProcessorMillicores(heartbeat.member().processorMillicores())
			.setReady(heartbeat.ready())
			.setServing(heartbeat.serving())
			.setConfigurationVersion(heartbeat.configurationVersion());
		heartbeat.load().forEach((entry) -> builder.addLoad(encode(entry)));
		heartbeat.crashes().forEach((report) -> builder.addCrashes(CrashReportCodec.encode(report)));
		builder.addAllLimits(LimitReportCodec.encode(heartbeat.limits()));
		heartbeat.contactAgeMillis().ifPresent(builder::setContactAgeMillis);
		heartbeat.servingMembers().forEach((member) -> builder.addNamed(encode(member)));
		return MeshDatagram.newBuilder().setHost(host).setBeat(builder).build();
	}

	/**
	 * Encodes the load of work that was placed on instances.
	 * @param host the host of the sender
	 * @param entries the load of each placed work
	 * @return the datagram
	 */
	public static MeshDatagram encodeLoadStarted(String host, List<LoadEntry> entries) {
		MeshLoadStarted.Builder builder = MeshLoadStarted.newBuilder();
		entries.forEach((entry) -> builder.addLoad(encode(entry)));
		return MeshDatagram.newBuilder().setHost(host).setLoadStarted(builder).build();
	}

	/**
	 * Encodes the end of work, whose load no longer counts.
	 * @param host the host of the sender
	 * @param keys the keys of the load entries
	 * @return the datagram
	 */
	public static MeshDatagram encodeLoadEnded(String host, List<String> keys) {
		return MeshDatagram.newBuilder()
			.setHost(host)
			.setLoadEnded(MeshLoadEnded.newBuilder().addAllKeys(keys))
			.build();
	}

	/**
	 * Encodes the crashes and answers of suspects.
	 * @param host the host of the sender
	 * @param reports the reports
	 * @return the datagram
	 */
	public static MeshDatagram encodeCrashes(String host, List<CrashReport> reports) {
		MeshCrashes.Builder builder = MeshCrashes.newBuilder();
		reports.forEach((report) -> builder.addCrashes(CrashReportCodec.encode(report)));
		return MeshDatagram.newBuilder().setHost(host).setCrashes(builder).build();
	}

	/**
	 * Encodes what an instance said of itself.
	 * @param host the host of the sender
	 * @param instance the id of the instance
	 * @param incarnation the incarnation that said it
	 * @param notice what it said
	 * @return the datagram
	 */
	public static MeshDatagram encodeNotice(String host, String instance, long incarnation, ServerNotice notice) {
		return MeshDatagram.newBuilder()
			.setHost(host)
			.setNotice(MeshNotice.newBuilder()
				.setInstance(instance)
				.setIncarnation(incarnation)
				.setLeaving(notice.leaving())
				.setQuietMillis(notice.quietMillis()))
			.build();
	}

	/**
	 * Encodes the limits that instances named, or that ended.
	 * @param host the host of the sender
	 * @param reports the reports
	 * @return the datagram
	 */
	public static MeshDatagram encodeLimits(String host, List<LimitReport> reports) {
		return MeshDatagram.newBuilder()
			.setHost(host)
			.setLimits(MeshLimits.newBuilder().addAllLimits(LimitReportCodec.encode(reports)))
			.build();
	}

	/**
	 * Decodes a datagram and passes it to the listener. A datagram without a known body
	 * is dropped, since a later version may have sent it.
	 * @param datagram the datagram
	 * @param listener receives the content
	 * @throws InvalidProtocolBufferException if the content is damaged
	 */
	public static void deliver(MeshDatagram datagram, MeshListener listener) throws InvalidProtocolBufferException {
		switch (datagram.getBodyCase()) {
			case BEAT -> listener.onHeartbeat(decode(datagram.getHost(), datagram.getBeat()));
			case LOAD_STARTED -> listener.onLoadStarted(datagram.getHost(),
					datagram.getLoadStarted().getLoadList().stream().map(MeshCodec::decode).toList());
			case LOAD_ENDED ->
				listener.onLoadEnded(datagram.getHost(), List.copyOf(datagram.getLoadEnded().getKeysList()));
			case CRASHES -> listener.onCrashes(CrashReportCodec.decode(datagram.getCrashes().getCrashesList()));
			case NOTICE -> deliver(datagram.getNotice(), listener);
			case LIMITS -> listener.onLimits(LimitReportCodec.decode(datagram.getLimits().getLimitsList()));
			case STREAM_NEWS -> StreamMessageCodec.deliver(datagram.getHost(), datagram.getStreamNews(), listener);
			default -> {
				// Body of a later version.
			}
		}
	}

	private static void deliver(MeshNotice message, MeshListener listener) {
		listener.onNotice(message.getInstance(), message.getIncarnation(),
				new ServerNotice(message.getLeaving(), message.getQuietMillis()));
	}

	private static MemberHeartbeat decode(String host, MeshBeat message) {
		Member member = new Member(host, message.getStartedMillis(), message.getCallersAddress(),
				message.getMeshAddress(), message.getProcessorMillicores());
		return new MemberHeartbeat(member, message.getReady(), message.getServing(), message.getConfigurationVersion(),
				message.getLoadList().stream().map(MeshCodec::decode).toList(),
				CrashReportCodec.decode(message.getCrashesList()),
				message.getNamedList().stream().map(MeshCodec::decode).toList(),
				LimitReportCodec.decode(message.getLimitsList()),
				message.hasContactAgeMillis() ? OptionalLong.of(message.getContactAgeMillis()) : OptionalLong.empty());
	}

	private static MeshMember encode(Member member) {
		return MeshMember.newBuilder()
			.setHost(member.host())
			.setStartedMillis(member.startedMillis())
			.setCallersAddress(member.callersAddress())
			.setMeshAddress(member.meshAddress())
			.setProcessorMillicores(member.processorMillicores())
			.build();
	}

	private static Member decode(MeshMember member) {
		return new Member(member.getHost(), member.getStartedMillis(), member.getCallersAddress(),
				member.getMeshAddress(), member.getProcessorMillicores());
	}

	private static MeshLoad encode(LoadEntry entry) {
		return MeshLoad.newBuilder()
			.setKey(entry.key())
			.setInstance(entry.instance())
			.setMemoryTokens(entry.memoryTokens())
			.setReadMillis(entry.readMillis())
			.setGapMillis(entry.gapMillis())
			.setWorth(entry.worth())
			.setRemainingMillis(entry.remainingMillis())
			.setDeferred(entry.deferred())
			.setWorkspaceHash(entry.workspaceHash())
			.build();
	}

	private static LoadEntry decode(MeshLoad load) {
		return new LoadEntry(load.getKey(), load.getInstance(), load.getMemoryTokens(), load.getReadMillis(),
				load.getGapMillis(), load.getWorth(), load.getRemainingMillis(), load.getDeferred(),
				load.getWorkspaceHash());
	}

}
