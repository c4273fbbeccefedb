package org.rattanhead.core.forward;

/**
 * An instance that reads a part of a prompt for another instance.
 *
 * @param address IP address and port
 * @param ticket the name of the memory reservation on it, empty if there is none
 */
public record Helper(String address, String ticket) {
}
