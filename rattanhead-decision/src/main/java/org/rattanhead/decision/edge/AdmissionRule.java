package org.rattanhead.decision.edge;

import java.util.Optional;

import org.rattanhead.core.problem.Problem;

/**
 * A condition that a request must satisfy to be admitted.
 */
@FunctionalInterface
interface AdmissionRule {

	/**
	 * Checks a request.
	 * @param context the request and the state of the daemon
	 * @return the reason to refuse it, empty if the condition holds
	 */
	Optional<Problem> check(AdmissionContext context);

}
