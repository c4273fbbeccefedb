package org.rattanhead.cli.catalogue;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.decision.catalogue.CatalogueDiff;
import org.rattanhead.platform.catalogue.CatalogueFile;

/**
 * Shows what publishing a catalogue file would change.
 */
public final class DiffCommand implements Command {

	@Option(name = "--log", metaVar = "IP:PORT", required = true, usage = "address of the log service")
	private String log;

	@Option(name = "--catalogue", metaVar = "FILE", required = true, usage = "catalogue file")
	private Path catalogue;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		Catalogue desired = CatalogueFile.read(this.catalogue);
		try (LogAccess access = new LogAccess(this.log)) {
			Catalogue inForce = access.catalogue().load().join().catalogue();
			List<EntryChange> changes = CatalogueDiff.changes(inForce, desired);
			changes.forEach((change) -> out
				.println(EntryText.change(change.key(), inForce.find(change.key()), change.after())));
			out.println(changes.size() + " changes against offset " + inForce.offset());
		}
		return ExitCode.OK;
	}

}
