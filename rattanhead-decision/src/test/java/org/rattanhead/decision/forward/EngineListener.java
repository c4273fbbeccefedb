package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ForwardCall;

/**
 * Receives the progress of calls to a {@link QueueingEngine}.
 */
interface EngineListener {

	void begun(ForwardCall call);

	void finished(ForwardCall call);

}
