package org.rattanhead.standin.engine;

/**
 * A request was cancelled, or its client disconnected.
 *
 * @param id the request id
 */
record SequenceCancelled(String id) implements EngineEvent {
}
