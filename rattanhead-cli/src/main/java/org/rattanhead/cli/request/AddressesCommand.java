package org.rattanhead.cli.request;

import java.io.PrintStream;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;

/**
 * Shows the addresses that callers should use.
 */
public final class AddressesCommand implements Command {

	@Option(name = "--address", metaVar = "IP:PORT", required = true, usage = "address of any daemon")
	private String address;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		out.println(PageReader.read(this.address, "/v1/addresses"));
		return ExitCode.OK;
	}

}
