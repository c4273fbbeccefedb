package org.rattanhead.core.keyed;

import org.rattanhead.core.Payload;

/**
 * A record whose value is given as the difference to an earlier value of its key. Source
 * of the format of differences: RFC 3284 (VCDIFF).
 *
 * @param key the key
 * @param baseChecksum the CRC-32C of the earlier value
 * @param checksum the CRC-32C of the value
 * @param difference the difference, in the format VCDIFF
 */
public record RecordDifference(String key, int baseChecksum, int checksum, Payload difference) {
}
