package org.rattanhead.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that removes its oldest key when a new one exceeds the bound.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private final int maxEntries;

	/**
	 * Creates an empty map.
	 * @param maxEntries the number of entries
	 */
	public BoundedMap(int maxEntries) {
		this.maxEntries = maxEntries;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
		return size() > this.maxEntries;
	}

}
