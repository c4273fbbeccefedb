package org.rattanhead.core.request;

/**
 * The target of a request.
 *
 * @param kind model or plain service
 * @param name the name of the model or plain service
 */
public record Target(TargetKind kind, String name) {
}
