package org.rattanhead.cli.load;

import org.rattanhead.standin.AnswerText;

/**
 * Checks whether an answer is correct.
 */
@FunctionalInterface
interface AnswerCheck {

	/**
	 * Checks an answer.
	 * @param answer the text of the answer
	 * @return true if it is correct
	 */
	boolean accepts(String answer);

	/**
	 * Returns a check that accepts every answer.
	 * @return the check
	 */
	static AnswerCheck acceptAll() {
		return (answer) -> true;
	}

	/**
	 * Returns a check that accepts only the answer of the engine stand-in to a prompt.
	 * @param prompt the prompt
	 * @param tokens the length of the answer, in tokens
	 * @return the check
	 */
	static AnswerCheck equalTo(String prompt, int tokens) {
		long digest = AnswerText.digest(prompt);
		return (answer) -> answer.equals(AnswerText.expected(digest, tokens));
	}

}
