package org.rattanhead.upstream;

/**
 * Hears of answers that are dropped because they belong to another attempt.
 */
@FunctionalInterface
public interface UpstreamObserver {

	/**
	 * Counts a dropped answer.
	 * @param upstream the upstream that sent it
	 */
	void onCrossedAnswer(String upstream);

}
