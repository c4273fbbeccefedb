package org.rattanhead.cli.catalogue;

import java.io.PrintStream;
import java.nio.file.Path;

import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.daemon.DaemonSettingsFile;
import org.rattanhead.platform.catalogue.CatalogueFile;

/**
 * Validates a catalogue file and a settings file without connecting to any service.
 */
public final class CheckCommand implements Command {

	@Option(name = "--catalogue", metaVar = "FILE", usage = "catalogue file to check")
	private Path catalogue;

	@Option(name = "--settings", metaVar = "FILE", usage = "daemon settings to check")
	private Path settings;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		if (this.catalogue == null && this.settings == null) {
			err.println("There is nothing to check; name a file with --catalogue or --settings");
			return ExitCode.USAGE;
		}
		if (this.catalogue != null) {
			Catalogue checked = CatalogueFile.read(this.catalogue);
			out.println(this.catalogue + ": " + checked.entries().size() + " entries, no faults");
		}
		if (this.settings != null) {
			DaemonSettingsFile.read(this.settings);
			out.println(this.settings + ": no faults");
		}
		return ExitCode.OK;
	}

}
