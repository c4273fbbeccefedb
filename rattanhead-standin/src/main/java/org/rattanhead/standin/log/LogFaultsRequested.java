package org.rattanhead.standin.log;

/**
 * A request to replace the injected faults.
 *
 * @param faults the faults
 */
record LogFaultsRequested(LogFaults faults) implements LogEvent {
}
