package org.rattanhead.daemon;

import java.nio.file.Path;

import org.kohsuke.args4j.Option;

/**
 * The command line of the daemon, filled by args4j.
 */
final class DaemonOptions {

	@Option(name = "--settings", metaVar = "FILE", required = true, usage = "INI file with the settings")
	private Path settings;

	@Option(name = "--check", usage = "check the settings and exit")
	private boolean check;

	@Option(name = "--rehearse",
			usage = "start a gateway, send it a few requests and exit; the build records the classes that this loads")
	private boolean rehearse;

	@Option(name = "--help", help = true, usage = "show this help")
	private boolean help;

	Path settings() {
		return this.settings;
	}

	boolean check() {
		return this.check;
	}

	boolean rehearse() {
		return this.rehearse;
	}

	boolean help() {
		return this.help;
	}

}
