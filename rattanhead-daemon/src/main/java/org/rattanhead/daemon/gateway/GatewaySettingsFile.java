package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.Set;

import org.rattanhead.daemon.LogLevel;
import org.rattanhead.decision.forward.ForwardLimits;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.SectionReader;
import org.rattanhead.settings.SettingsException;
import org.rattanhead.settings.SettingsFileReader;

/**
 * Reads the settings of a gateway from an INI file.
 */
final class GatewaySettingsFile {

	static final String SECTION = "gateway";

	private static final Set<String> SECTIONS = Set.of(SECTION, "platform", "limits", "placement", "logs");

	private static final int MAX_RETRY_SLACK = 1_000_000;

	private static final int MAX_DAEMONS = 1_000_000;

	private static final double MAX_PROCESSOR_CORES = 1_000;

	private static final long DEFAULT_ADDRESS_TTL_MILLIS = 2_000;

	private final SettingsFileReader reader;

	private GatewaySettingsFile(IniFile file) {
		this.reader = new SettingsFileReader(file, SECTIONS);
	}

	/**
	 * Builds the settings from a parsed file.
	 * @param file the parsed file
	 * @return the settings
	 * @throws SettingsException listing all faults
	 */
	static GatewaySettings parse(IniFile file) {
		return new GatewaySettingsFile(file).settings();
	}

	private GatewaySettings settings() {
		SectionReader gateway = this.reader.section(SECTION);
		SectionReader platform = this.reader.section("platform");
		SectionReader limits = this.reader.section("limits");
		SectionReader placement = this.reader.section("placement");
		SectionReader logs = this.reader.section("logs");
		GatewaySettings settings = new GatewaySettings(gateway.text("host"),
				SettingsFileReader.address(gateway, "callers"), SettingsFileReader.address(gateway, "ready"),
				SettingsFileReader.address(gateway, "directory"), SettingsFileReader.address(gateway, "mesh"),
				SettingsFileReader.address(gateway, "metrics"), SettingsFileReader.address(platform, "store"),
				processorCores(gateway), limits(limits, placement), limits.durationMillis("shutdown-grace"),
				gateway.durationMillis("address-ttl", DEFAULT_ADDRESS_TTL_MILLIS),
				logs.enumValue("level", LogLevel.class, LogLevel.INFO).level());
		List.of(gateway, platform, limits, placement, logs).forEach(SectionReader::reportUnknownKeys);
		this.reader.throwIfFaulty();
		return settings;
	}

	private double processorCores(SectionReader section) {
		return section.decimal("processor-share", 0, MAX_PROCESSOR_CORES, 0)
				* section.decimal("processor-speed", 0, MAX_PROCESSOR_CORES, 1);
	}

	private ForwardLimits limits(SectionReader section, SectionReader placement) {
		return new ForwardLimits(section.decimal("retry-ratio", 0, 1),
				section.decimal("retry-slack", 0, MAX_RETRY_SLACK), section.durationMillis("retry-window"),
				section.durationMillis("max-hold"),
				placement.integer("even-load-from", 1, MAX_DAEMONS, ForwardLimits.DEFAULT_EVEN_LOAD_FROM),
				placement.integer("refuse-from", 1, MAX_DAEMONS, ForwardLimits.DEFAULT_REFUSE_FROM));
	}

}
