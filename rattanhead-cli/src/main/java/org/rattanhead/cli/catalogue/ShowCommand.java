package org.rattanhead.cli.catalogue;

import java.io.PrintStream;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.catalogue.Catalogue;

/**
 * Shows the catalogue in force.
 */
public final class ShowCommand implements Command {

	@Option(name = "--log", metaVar = "IP:PORT", required = true, usage = "address of the log service")
	private String log;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		try (LogAccess access = new LogAccess(this.log)) {
			Catalogue inForce = access.catalogue().load().join().catalogue();
			inForce.entries()
				.forEach((key, versioned) -> out
					.println(versioned.offset() + " " + key.kind().label() + " " + EntryText.entry(versioned.entry())));
		}
		return ExitCode.OK;
	}

}
