package org.rattanhead.client.internal;

/**
 * Progress of a call. A call that ends while connecting has sent nothing and never sends
 * anything.
 */
enum ExchangeState {

	/** No connection yet; nothing was sent. */
	CONNECTING,

	/** The request, or a part of it, may have been sent. */
	SENT,

	/** The call has ended. */
	ENDED

}
