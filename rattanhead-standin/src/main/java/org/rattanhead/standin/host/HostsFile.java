package org.rattanhead.standin.host;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.IniSection;
import org.rattanhead.settings.SectionReader;
import org.rattanhead.settings.SettingFault;
import org.rattanhead.settings.SettingsException;

/**
 * Reads the hosts of the stand-in from an INI file. Each section describes one host:
 * {@code [host braga-entry-1]}.
 */
public final class HostsFile {

	private static final String PREFIX = "host ";

	private HostsFile() {
	}

	/**
	 * Reads and checks a file.
	 * @param path the file
	 * @return the hosts
	 * @throws SettingsException with every fault found
	 */
	public static List<Host> read(Path path) {
		IniFile file = IniFile.read(path);
		List<SettingFault> faults = new ArrayList<>();
		List<Host> hosts = new ArrayList<>();
		for (IniSection section : file.sections()) {
			if (section.name().startsWith(PREFIX)) {
				hosts.add(host(file.name(), section, faults));
			}
			else {
				faults.add(new SettingFault(file.name(), section.name(), "", "the section does not name a host",
						"name the section 'host NAME'"));
			}
		}
		if (!faults.isEmpty()) {
			throw new SettingsException(faults);
		}
		return hosts;
	}

	private static Host host(String file, IniSection section, List<SettingFault> faults) {
		SectionReader reader = new SectionReader(file, section, faults::add);
		HostRole role = reader.enumValue("role", HostRole.class, HostRole.ENTRY);
		boolean entry = role == HostRole.ENTRY;
		Host host = new Host(section.name().substring(PREFIX.length()).trim(), role,
				reader.enumValue("state", HostState.class, HostState.LIVE), reader.text("failure-domain"),
				entry ? reader.address("caller-address") : "", entry ? reader.address("peer-address") : "");
		reader.reportUnknownKeys();
		return host;
	}

}
