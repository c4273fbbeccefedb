package org.rattanhead.standin.engine;

/**
 * A request arrived.
 *
 * @param request the request
 * @param sink receives the answer
 */
record SequenceArrived(EngineRequest request, SequenceSink sink) implements EngineEvent {
}
