package org.rattanhead.cli.catalogue;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.HexFormat;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.Sha256;

/**
 * Generates a key for a workspace, with the digest that goes into the catalogue.
 */
public final class KeyCommand implements Command {

	private static final int KEY_BYTES = 24;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		byte[] bytes = new byte[KEY_BYTES];
		new SecureRandom().nextBytes(bytes);
		String key = "rh-" + HexFormat.of().formatHex(bytes);
		out.println("key        = " + key);
		out.println("key-sha256 = " + Sha256.hex(key));
		err.println("Give the key to the callers of the workspace and put key-sha256 into the catalogue.");
		return ExitCode.OK;
	}

}
