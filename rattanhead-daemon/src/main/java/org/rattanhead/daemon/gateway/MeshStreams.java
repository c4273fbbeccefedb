package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.platform.keyed.StreamPeers;

/**
 * Passes messages about streams to the mesh.
 */
final class MeshStreams implements StreamPeers {

	private final MeshDuty mesh;

	MeshStreams(MeshDuty mesh) {
		this.mesh = mesh;
	}

	@Override
	public void sendUpdate(StreamUpdate update) {
		this.mesh.offer(new SendStreamUpdate(update));
	}

	@Override
	public void requestSnapshot(KeyedStream stream, String host) {
		this.mesh.offer(new RequestSnapshot(stream, host));
	}

	@Override
	public void sendSnapshot(String host, StreamUpdate snapshot) {
		this.mesh.offer(new SendSnapshot(host, snapshot));
	}

}
