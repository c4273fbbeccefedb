package org.rattanhead.decision.placement;

/**
 * The upstreams of one target, by index, so that a policy can sample a few without
 * building a candidate for each.
 */
public interface CandidateSource {

	/**
	 * Returns the number of upstreams.
	 * @return the number
	 */
	int size();

	/**
	 * Returns the candidate at an index.
	 * @param index the index, from 0
	 * @return the candidate
	 */
	Candidate get(int index);

}
