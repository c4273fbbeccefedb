package org.rattanhead.decision.forward;

/**
 * Reports that no request or reservation is left after a shutdown began.
 */
public record ForwardDrained() implements ForwardCommand {
}
