package org.rattanhead.cli.catalogue;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.decision.catalogue.CatalogueDiff;
import org.rattanhead.platform.catalogue.CatalogueFile;

/**
 * Publishes the difference between a catalogue file and the catalogue in force as one
 * edit.
 */
public final class PublishCommand implements Command {

	@Option(name = "--log", metaVar = "IP:PORT", required = true, usage = "address of the log service")
	private String log;

	@Option(name = "--catalogue", metaVar = "FILE", required = true, usage = "catalogue file")
	private Path catalogue;

	@Option(name = "--author", metaVar = "NAME", required = true, usage = "who publishes, for the audit trail")
	private String author;

	@Option(name = "--reason", metaVar = "TEXT", required = true, usage = "why, for the audit trail")
	private String reason;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		Catalogue desired = CatalogueFile.read(this.catalogue);
		try (LogAccess access = new LogAccess(this.log)) {
			Catalogue inForce = access.catalogue().load().join().catalogue();
			List<EntryChange> changes = CatalogueDiff.changes(inForce, desired);
			if (changes.isEmpty()) {
				out.println("No changes against offset " + inForce.offset());
				return ExitCode.OK;
			}
			CatalogueEdit edit = new CatalogueEdit(UUID.randomUUID().toString(), this.author,
					System.currentTimeMillis(), this.reason, changes);
			return report(access.catalogue().publish(edit).join(), out, err);
		}
	}

	private static ExitCode report(AuditRecord audit, PrintStream out, PrintStream err) {
		if (audit.verdict().accepted()) {
			out.println("Accepted at offset " + audit.offset() + ": " + audit.changes().size() + " changes");
			return ExitCode.OK;
		}
		err.println("Rejected at offset " + audit.offset() + "; nothing has changed");
		audit.verdict().findings().forEach(err::println);
		return ExitCode.REJECTED;
	}

}
