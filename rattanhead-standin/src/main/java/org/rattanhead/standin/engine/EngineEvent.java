package org.rattanhead.standin.engine;

/**
 * An event that the duty of the engine handles.
 */
sealed interface EngineEvent permits SequenceArrived, SequenceCancelled, StepDue, FaultRequested, StateRequested {

}
