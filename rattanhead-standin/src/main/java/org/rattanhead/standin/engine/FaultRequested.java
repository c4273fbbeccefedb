package org.rattanhead.standin.engine;

/**
 * A request to inject a fault.
 *
 * @param body the fault
 */
record FaultRequested(FaultBody body) implements EngineEvent {
}
