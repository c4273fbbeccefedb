package org.rattanhead.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanhead.core.host.HostAddress;

/**
 * A settings file whose faults are collected while it is read, so that all are named at
 * once.
 */
public final class SettingsFileReader {

	private final IniFile file;

	private final List<SettingFault> faults = new ArrayList<>();

	/**
	 * Starts to read a file and reports the sections that it should not have.
	 * @param file the file
	 * @param sections the names of the sections that it may have
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
	 * Returns the reader of a section, which is empty if the file lacks it.
	 * @param name the name
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
	 * @return the address, a wildcard if it is faulty
	 */
	public static InetSocketAddress address(SectionReader section, String key) {
		String text = section.address(key);
		return HostAddress.valid(text) ? HostAddress.parse(text) : new InetSocketAddress(0);
	}

	/**
	 * Ends reading.
	 * @throws SettingsException with every fault found
	 */
	public void throwIfFaulty() {
		if (!this.faults.isEmpty()) {
			throw new SettingsException(this.faults);
		}
	}

}
