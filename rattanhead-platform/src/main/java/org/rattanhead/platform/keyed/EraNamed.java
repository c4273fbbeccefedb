package org.rattanhead.platform.keyed;

/**
 * The store or another daemon named a later era of the store.
 *
 * @param era the era
 * @param host the host of that daemon, empty text for the store
 */
record EraNamed(long era, String host) implements FollowEvent {
}
