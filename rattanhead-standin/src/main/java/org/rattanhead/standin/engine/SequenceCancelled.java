package org.rattanhead.standin.engine;

/**
 * A request is no longer wanted.
 *
 * @param id the request id
 */
record SequenceCancelled(String id) implements EngineEvent {
}
