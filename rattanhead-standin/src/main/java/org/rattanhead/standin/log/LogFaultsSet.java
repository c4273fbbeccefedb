package org.rattanhead.standin.log;

/**
 * Set the faults.
 *
 * @param faults the faults
 */
record LogFaultsSet(LogFaults faults) implements LogEvent {
}
