package org.rattanhead.core.claim;

/**
 * A record of the claims stream. Readers apply records in the order of their offsets.
 */
public sealed interface ClaimRecord permits ClaimTaken, ClaimReleased, ClaimAnswered, ClaimRefreshed {

	/**
	 * Returns the key that the record is about.
	 * @return the key
	 */
	ClaimKey key();

}
