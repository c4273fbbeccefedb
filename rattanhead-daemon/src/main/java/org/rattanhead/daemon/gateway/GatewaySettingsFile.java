package org.rattanhead.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanhead.core.host.HostAddress;
import org.rattanhead.daemon.LogLevel;
import org.rattanhead.decision.forward.ForwardLimits;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.IniSection;
import org.rattanhead.settings.SectionReader;
import org.rattanhead.settings.SettingFault;
import org.rattanhead.settings.SettingsException;

/**
 * Reads the settings of a gateway from an INI file.
 */
final class GatewaySettingsFile {

	static final String SECTION = "gateway";

	private static final Set<String> SECTIONS = Set.of(SECTION, "platform", "limits", "logs");

	private static final int MAX_SLACK = 1_000_000;

	private static final long DEFAULT_TTL_MILLIS = 2_000;

	private final IniFile file;

	private final List<SettingFault> faults = new ArrayList<>();

	private GatewaySettingsFile(IniFile file) {
		this.file = file;
	}

	/**
	 * Checks the sections of a file.
	 * @param file the sections
	 * @return the settings
	 * @throws SettingsException with every fault found
	 */
	static GatewaySettings parse(IniFile file) {
		return new GatewaySettingsFile(file).settings();
	}

	private GatewaySettings settings() {
		reportUnknownSections();
		SectionReader gateway = section(SECTION);
		SectionReader platform = section("platform");
		SectionReader limits = section("limits");
		SectionReader logs = section("logs");
		GatewaySettings settings = new GatewaySettings(gateway.text("host"), address(gateway, "callers"),
				address(gateway, "ready"), address(gateway, "directory"), address(gateway, "mesh"),
				address(gateway, "metrics"), address(platform, "store"), limits(limits),
				limits.durationMillis("shutdown-grace"), gateway.durationMillis("address-ttl", DEFAULT_TTL_MILLIS),
				logs.choice("level", LogLevel.class, LogLevel.INFO).level());
		List.of(gateway, platform, limits, logs).forEach(SectionReader::reportUnknownKeys);
		if (!this.faults.isEmpty()) {
			throw new SettingsException(this.faults);
		}
		return settings;
	}

	private ForwardLimits limits(SectionReader section) {
		return new ForwardLimits(section.decimal("retry-ratio", 0, 1), section.integer("retry-slack", 0, MAX_SLACK),
				section.durationMillis("retry-window"), section.durationMillis("max-hold"));
	}

	private static InetSocketAddress address(SectionReader section, String key) {
		String text = section.address(key);
		return HostAddress.valid(text) ? HostAddress.parse(text) : new InetSocketAddress(0);
	}

	private SectionReader section(String name) {
		IniSection section = this.file.section(name).orElse(new IniSection(name, Map.of()));
		return new SectionReader(this.file.name(), section, this.faults::add);
	}

	private void reportUnknownSections() {
		this.file.sections()
			.stream()
			.filter((section) -> !SECTIONS.contains(section.name()))
			.forEach((section) -> this.faults.add(new SettingFault(this.file.name(), section.name(), "",
					"there is no such section", "remove it, or use one of " + SECTIONS.stream().sorted().toList())));
	}

}
