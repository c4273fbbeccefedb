package org.rattanhead.daemon.gateway;

/**
 * An event that {@link MeshDuty} handles.
 */
sealed interface MeshEvent
		permits MemberLearned, BeatArrived, BeatToSend, LoadToTell, LoadEndToTell, NewsToTell, NewsArrived {

}
