package org.rattanhead.cli.catalogue;

import java.io.PrintStream;
import java.time.Instant;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.catalogue.AuditRecord;

/**
 * Shows the audit trail of the catalogue.
 */
public final class HistoryCommand implements Command {

	@Option(name = "--log", metaVar = "IP:PORT", required = true, usage = "address of the log service")
	private String log;

	@Option(name = "--last", metaVar = "N", usage = "show only the last N edits")
	private int last = Integer.MAX_VALUE;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		try (LogAccess access = new LogAccess(this.log)) {
			var audit = access.catalogue().load().join().audit();
			audit.stream().skip(Math.max(0, audit.size() - this.last)).forEach((edit) -> show(edit, out));
		}
		return ExitCode.OK;
	}

	private static void show(AuditRecord edit, PrintStream out) {
		out.println(edit.offset() + " " + Instant.ofEpochMilli(edit.atMillis()) + " " + edit.author() + " "
				+ (edit.verdict().accepted() ? "accepted" : "rejected") + ": " + edit.reason());
		edit.changes()
			.forEach((change) -> out.println("  base " + change.baseOffset() + " "
					+ EntryText.change(change.key(), change.before(), change.after())));
		edit.verdict().findings().forEach((finding) -> out.println("  ! " + finding));
	}

}
