package org.rattanhead.standin.engine;

/**
 * Time has passed.
 */
record StepDue() implements EngineEvent {
}
