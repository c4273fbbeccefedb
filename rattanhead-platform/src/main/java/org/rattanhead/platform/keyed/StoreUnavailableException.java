package org.rattanhead.platform.keyed;

/**
 * A call was not made, because the store refuses calls of this daemon.
 */
final class StoreUnavailableException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	StoreUnavailableException() {
		super("The store failed an earlier call; one call at a time tests whether it has returned");
	}

}
