package org.rattanhead.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanhead.core.host.HostAddress;

/**
 * Reads a settings file and collects its faults, so that all are reported at once.
 */
public final class SettingsFileReader {

	private final IniFile file;

	private final List<SettingFault> faults = new ArrayList<>();

	/**
	 * Creates a reader and records a fault for each section that is not allowed.
	 * @param file the file
	 * @param sections the names of the allowed sections
	 */
	public SettingsFileReader(IniFile file, Set<String> sections) {
		this.file = file;
		file.sections()
			.stream()
			.filter((section) -> !sections.contains(section.name()))
			.forEach((section) -> this.faults.add(new SettingFault(file.name(), section.name(), "",
					"there is no such section", "remove it, or use one of " + sections.stream().sorted().toList())));
	}

	/**
	 * Returns the reader of a section. A section that the file lacks is read as empty.
	 * @param name the name of the section
	 * @return the reader
	 */
	public SectionReader section(String name) {
		IniSection section = this.file.section(name).orElse(new IniSection(name, Map.of()));
		return new SectionReader(this.file.name(), section, this.faults::add);
	}

	/**
	 * Reads an address.
	 * @param section the section
	 * @param key the key
	 * @return the address, or the wildcard address with port 0 if the value is faulty
	 */
	public static InetSocketAddress address(SectionReader section, String key) {
		String text = section.address(key);
		return HostAddress.valid(text) ? HostAddress.parse(text) : new InetSocketAddress(0);
	}

	/**
	 * Throws an exception if any fault was found.
	 * @throws SettingsException with all faults
	 */
	public void throwIfFaulty() {
		if (!this.faults.isEmpty()) {
			throw new SettingsException(this.faults);
		}
	}

}
