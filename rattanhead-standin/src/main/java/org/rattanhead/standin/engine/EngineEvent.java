package org.rattanhead.standin.engine;

/**
 * What the engine is asked to do.
 */
sealed interface EngineEvent permits SequenceArrived, SequenceCancelled, StepDue, FaultRequested, StateRequested {

}
