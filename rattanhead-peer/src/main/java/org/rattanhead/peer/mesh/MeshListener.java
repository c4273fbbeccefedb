package org.rattanhead.peer.mesh;

import java.util.List;

import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Receives the datagrams of other daemons, on an I/O thread.
 */
public interface MeshListener {

	/**
	 * Another daemon sent a heartbeat.
	 * @param heartbeat the heartbeat
	 */
	void onHeartbeat(MemberHeartbeat heartbeat);

	/**
	 * Another daemon placed work.
	 * @param host its host
	 * @param entries the work
	 */
	void onLoadStarted(String host, List<LoadEntry> entries);

	/**
	 * Work of another daemon ended.
	 * @param host its host
	 * @param keys the keys of the work
	 */
	void onLoadEnded(String host, List<String> keys);

	/**
	 * Another daemon read a stream of the platform to its end.
	 * @param host its host
	 * @param update the records it read
	 */
	void onStreamUpdate(String host, StreamUpdate update);

}
