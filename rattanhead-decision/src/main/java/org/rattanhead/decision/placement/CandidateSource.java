package org.rattanhead.decision.placement;

/**
 * The upstreams of one target, by index, so that a policy can look at a few of many.
 */
public interface CandidateSource {

	/**
	 * Returns the number of upstreams.
	 * @return the number
	 */
	int size();

	/**
	 * Looks at one upstream.
	 * @param index from 0
	 * @return the candidate
	 */
	Candidate get(int index);

}
