package org.rattanhead.peer.mesh;

import java.util.List;

import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.MemberBeat;

/**
 * Hears the datagrams of other daemons, on an I/O thread.
 */
public interface MeshListener {

	/**
	 * A beat arrived.
	 * @param beat the beat
	 */
	void onBeat(MemberBeat beat);

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

}
