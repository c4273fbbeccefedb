package org.rattanhead.standin.engine;

/**
 * Set a fault.
 *
 * @param body the fault
 */
record FaultSet(FaultBody body) implements EngineEvent {
}
