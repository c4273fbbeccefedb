package org.rattanhead.standin.engine;

/**
 * The body of a call that sets a fault.
 *
 * @param fault the fault
 * @param amount how many answers it hits, or how many milliseconds it lasts
 */
public record FaultBody(EngineFault fault, long amount) {
}
