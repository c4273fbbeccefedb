package org.rattanhead.peer.mesh;

import java.util.List;

import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Hears the datagrams of other daemons, on an I/O thread.
 */
public interface MeshListener {

	/**
	 * A beat arrived.
	 * @param beat the beat
	 */
	void onBeat(MemberHeartbeat beat);

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
	 * Another daemon read a stream of the platform.
	 * @param host its host
	 * @param news what it found
	 */
	void onStreamNews(String host, StreamUpdate news);

}
