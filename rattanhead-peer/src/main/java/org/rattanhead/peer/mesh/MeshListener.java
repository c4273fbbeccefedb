package org.rattanhead.peer.mesh;

import java.util.List;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Receives the decoded messages of other daemons. Called on an I/O thread; must not
 * block.
 */
public interface MeshListener {

	/**
	 * Another daemon sent a heartbeat.
	 * @param heartbeat the heartbeat
	 */
	void onHeartbeat(MemberHeartbeat heartbeat);

	/**
	 * Another daemon placed load on instances.
	 * @param host the host name of the sending daemon
	 * @param entries the load
	 */
	void onLoadStarted(String host, List<LoadEntry> entries);

	/**
	 * Load of another daemon ended.
	 * @param host the host name of the sending daemon
	 * @param keys the keys of the load
	 */
	void onLoadEnded(String host, List<String> keys);

	/**
	 * Another daemon sent the crashes and answers of suspects.
	 * @param reports the reports
	 */
	void onCrashes(List<CrashReport> reports);

	/**
	 * Another daemon sent what an instance said of itself in an answer to it.
	 * @param instance the id of the instance
	 * @param incarnation the incarnation that said it
	 * @param notice what it said
	 */
	void onNotice(String instance, long incarnation, ServerNotice notice);

	/**
	 * Another daemon sent the limits that instances named, or that ended.
	 * @param reports the reports
	 */
	void onLimits(List<LimitReport> reports);

	/**
	 * Another daemon read a stream of the platform to its end.
	 * @param host the host name of the sending daemon
	 * @param update the records that it read; records may be left out
	 */
	void onStreamUpdate(String host, StreamUpdate update);

	/**
	 * Another daemon requested the newest records of a stream.
	 * @param host the host name of the sending daemon
	 * @param stream the stream
	 */
	void onSnapshotRequest(String host, KeyedStream stream);

	/**
	 * Another daemon sent the newest records of a stream.
	 * @param snapshot the newest record of each key
	 */
	void onSnapshot(StreamUpdate snapshot);

}
