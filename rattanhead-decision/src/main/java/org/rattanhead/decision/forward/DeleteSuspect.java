package org.rattanhead.decision.forward;

/**
 * Removes a suspect that is no longer blocked from the store.
 *
 * @param suspect the fingerprint of the request, or the id of the part of prompts
 */
public record DeleteSuspect(long suspect) implements ForwardCommand {
}
