package org.rattanhead.client.internal;

/**
 * How far a call is. A call that ended while connecting has sent nothing, and never will.
 */
enum ExchangeState {

	/** No connection yet; nothing was sent. */
	CONNECTING,

	/** The request, or a part of it, may have been sent. */
	SENT,

	/** The call has ended. */
	ENDED

}
