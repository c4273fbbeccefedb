package org.rattanhead.decision.forward;

/**
 * The last request has ended after a shutdown began.
 */
public record ForwardDrained() implements ForwardCommand {
}
