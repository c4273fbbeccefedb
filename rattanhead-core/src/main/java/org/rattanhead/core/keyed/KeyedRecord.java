package org.rattanhead.core.keyed;

import java.util.Optional;

import org.rattanhead.core.Payload;

/**
 * A record of a key.
 *
 * @param key the key
 * @param value the value, empty if the key was dropped
 */
public record KeyedRecord(String key, Optional<Payload> value) {
}
