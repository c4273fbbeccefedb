package org.rattanhead.standin.log;

/**
 * Set the faults.
 *
 * @param faults the faults
 */
record LogFaultsRequested(LogFaults faults) implements LogEvent {
}
