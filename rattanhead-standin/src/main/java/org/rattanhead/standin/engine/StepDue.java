package org.rattanhead.standin.engine;

/**
 * The next simulation step is due.
 */
record StepDue() implements EngineEvent {
}
