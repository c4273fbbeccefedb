package org.rattanhead.daemon.gateway;

/**
 * What a {@link MeshDuty} handles.
 */
sealed interface MeshEvent
		permits MemberLearned, BeatArrived, BeatToSend, LoadToTell, LoadEndToTell, NewsToTell, NewsArrived {

}
