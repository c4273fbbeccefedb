package org.rattanhead.upstream;

/**
 * Counts crossed answers: answers that are dropped because they belong to another
 * attempt.
 */
@FunctionalInterface
public interface UpstreamObserver {

	/**
	 * Counts a crossed answer.
	 * @param upstream the upstream that sent it
	 */
	void onCrossedAnswer(String upstream);

}
