package org.rattanhead.standin.engine;

/**
 * Set a fault.
 *
 * @param body the fault
 */
record FaultRequested(FaultBody body) implements EngineEvent {
}
