package org.rattanhead.core.catalogue;

/**
 * A fault found in an entry.
 *
 * @param key the entry
 * @param fault what is wrong
 * @param remedy what to do about it
 */
public record Finding(EntryKey key, String fault, String remedy) {

	@Override
	public String toString() {
		return this.key + ": " + this.fault + "; " + this.remedy;
	}

}
