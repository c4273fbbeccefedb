package org.rattanhead.standin.engine;

/**
 * The body of a call that sets a fault.
 *
 * @param fault the fault
 * @param amount the number of answers or cancellations affected, or the duration in
 * milliseconds
 */
public record FaultBody(EngineFault fault, long amount) {
}
