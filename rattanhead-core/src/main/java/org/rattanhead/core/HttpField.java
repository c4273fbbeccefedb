package org.rattanhead.core;

/**
 * One header field.
 *
 * @param name the name
 * @param value the value
 */
public record HttpField(String name, String value) {
}
