package org.rattanhead.core.catalogue;

/**
 * A validation error in an entry.
 *
 * @param key the key of the entry
 * @param fault what is wrong
 * @param remedy how to correct it
 */
public record Finding(EntryKey key, String fault, String remedy) {

	@Override
	public String toString() {
		return this.key + ": " + this.fault + "; " + this.remedy;
	}

}
