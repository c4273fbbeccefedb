package org.rattanhead.decision.edge;

import java.util.HashSet;
import java.util.Set;

import org.rattanhead.core.request.Work;

/**
 * A request whose answer is not complete yet.
 *
 * @param work the work of the current attempt
 * @param upstream the upstream it was sent to
 * @param holder the daemon it was sent through
 * @param answerStarted whether the answer to the caller has started
 * @param excluded the upstreams on which earlier attempts failed
 */
record PendingRequest(Work work, String upstream, String holder, boolean answerStarted, Set<String> excluded) {

	PendingRequest withAnswerStarted() {
		return new PendingRequest(this.work, this.upstream, this.holder, true, this.excluded);
	}

	Set<String> excludedWithCurrent() {
		Set<String> all = new HashSet<>(this.excluded);
		all.add(this.upstream);
		return Set.copyOf(all);
	}

}
