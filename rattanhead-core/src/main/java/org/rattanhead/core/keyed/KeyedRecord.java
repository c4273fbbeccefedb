package org.rattanhead.core.keyed;

import java.util.Optional;

import org.rattanhead.core.Payload;

/**
 * A record of a keyed stream.
 *
 * @param key the key
 * @param value the value, empty if the key was deleted
 */
public record KeyedRecord(String key, Optional<Payload> value) {
}
