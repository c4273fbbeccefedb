package org.rattanhead.core;

/**
 * An HTTP header field.
 *
 * @param name the field name
 * @param value the field value
 */
public record HttpField(String name, String value) {
}
