package org.rattanhead.cli.load;

import org.rattanhead.standin.AnswerText;

/**
 * Decides whether an answer is the right one.
 */
@FunctionalInterface
interface AnswerCheck {

	/**
	 * Checks an answer.
	 * @param answer the text of the answer
	 * @return true if it is right
	 */
	boolean right(String answer);

	/**
	 * Accepts every answer.
	 * @return the check
	 */
	static AnswerCheck none() {
		return (answer) -> true;
	}

	/**
	 * Compares with the answer of the engine stand-in.
	 * @param prompt the prompt
	 * @param tokens the length of the answer, in tokens
	 * @return the check
	 */
	static AnswerCheck against(String prompt, int tokens) {
		long digest = AnswerText.digest(prompt);
		return (answer) -> answer.equals(AnswerText.expected(digest, tokens));
	}

}
