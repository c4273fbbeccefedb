package org.rattanhead.core.forward;

/**
 * An instance that reads a part of a prompt for another.
 *
 * @param address its IP number and port
 * @param ticket the memory reserved on it, empty text for none
 */
public record Helper(String address, String ticket) {
}
