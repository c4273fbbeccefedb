package org.rattanhead.daemon.gateway;

/**
 * An event that {@link MeshDuty} handles.
 */
sealed interface MeshEvent permits MemberAnnounced, HeartbeatReceived, SendHeartbeat, SendLoadStarted, SendLoadEnded,
		SendStreamUpdate, StreamUpdateReceived, SendCrashes, SendNotice, SendLimits, RequestSnapshot,
		SnapshotRequestReceived, SendSnapshot, SnapshotReceived {

}
