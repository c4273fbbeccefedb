package org.rattanhead.core;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests in lower-case hexadecimal. The catalogue holds digests of keys instead
 * of the keys themselves.
 */
public final class Sha256 {

	private Sha256() {
	}

	/**
	 * Digests text encoded as UTF-8.
	 * @param text the text
	 * @return 64 hexadecimal digits
	 */
	public static String hex(String text) {
		return hex(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Digests bytes.
	 * @param bytes the bytes
	 * @return 64 hexadecimal digits
	 */
	public static String hex(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("This Java runtime has no SHA-256; use a standard one", ex);
		}
	}

}
