package org.rattanhead.core.request;

/**
 * What a request is for.
 *
 * @param kind model or plain service
 * @param name its name
 */
public record Target(TargetKind kind, String name) {
}
