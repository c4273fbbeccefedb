package org.rattanhead.core.claim;

import java.util.Optional;

import org.rattanhead.core.request.RequestId;

/**
 * The reply to {@link AcquireClaim}.
 *
 * @param request the request
 * @param outcome whether it may run
 * @param answer the stored answer, if the outcome is {@link ClaimOutcome#ANSWERED}
 */
public record ClaimVerdict(RequestId request, ClaimOutcome outcome, Optional<KeptAnswer> answer) {

	/**
	 * Creates a verdict without an answer.
	 * @param request the request
	 * @param outcome the outcome
	 * @return the verdict
	 */
	public static ClaimVerdict of(RequestId request, ClaimOutcome outcome) {
		return new ClaimVerdict(request, outcome, Optional.empty());
	}

}
