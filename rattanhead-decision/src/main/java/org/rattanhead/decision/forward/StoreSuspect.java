package org.rattanhead.decision.forward;

/**
 * Stores that a suspect is blocked, for daemons that start later or receive no reports.
 *
 * @param suspect the fingerprint of the request, or the id of the part of prompts
 */
public record StoreSuspect(long suspect) implements ForwardCommand {
}
