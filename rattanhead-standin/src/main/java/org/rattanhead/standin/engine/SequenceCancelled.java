package org.rattanhead.standin.engine;

/**
 * A request was cancelled, or its client disconnected.
 *
 * @param requestId the request id
 */
record SequenceCancelled(String requestId) implements EngineEvent {
}
