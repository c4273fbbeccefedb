package org.rattanhead.standin.engine;

/**
 * Time has passed.
 */
record EngineStep() implements EngineEvent {
}
