package org.rattanhead.standin;

import java.util.Locale;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Generates the answers of the engine stand-in. An answer is a function of the prompt and
 * the token index, so that a caller can verify every byte.
 */
public final class AnswerText {

	private static final int MASK = 0xFFFFFF;

	private AnswerText() {
	}

	/**
	 * Computes the digest of a prompt.
	 * @param prompt the text of all messages, in order
	 * @return the digest
	 */
	public static long digest(String prompt) {
		return Hashing.komihash5_0().hashCharsToLong(prompt);
	}

	/**
	 * Returns one token of an answer.
	 * @param promptDigest the digest of the prompt
	 * @param index the position, from 0
	 * @return the token
	 */
	public static String token(long promptDigest, int index) {
		long hash = Hashing.komihash5_0().hashStream().putLong(promptDigest).putInt(index).getAsLong();
		return String.format(Locale.ROOT, "w%06x ", hash & MASK);
	}

	/**
	 * Returns a complete answer.
	 * @param prompt the text of all messages, in order
	 * @param tokens the length of the answer, in tokens
	 * @return the answer
	 */
	public static String expected(String prompt, int tokens) {
		return expected(digest(prompt), tokens);
	}

	/**
	 * Returns a complete answer.
	 * @param digest the digest of the prompt
	 * @param tokens the length of the answer, in tokens
	 * @return the answer
	 */
	public static String expected(long digest, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < tokens; index++) {
			text.append(token(digest, index));
		}
		return text.toString();
	}

}
