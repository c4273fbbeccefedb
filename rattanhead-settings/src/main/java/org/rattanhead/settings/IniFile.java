package org.rattanhead.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * An INI file as sections of keys and values.
 *
 * @param name the name of the file in fault messages
 * @param sections the sections, in the order of the file
 */
public record IniFile(String name, List<IniSection> sections) {

	/**
	 * Copies the sections.
	 * @param name the name of the file in fault messages
	 * @param sections the sections
	 */
	public IniFile {
		sections = List.copyOf(sections);
	}

	/**
	 * Reads a file.
	 * @param path the file
	 * @return the file with its sections
	 * @throws SettingsException if it cannot be read
	 */
	public static IniFile read(Path path) {
		try (Reader reader = Files.newBufferedReader(path)) {
			return parse(path.toString(), reader);
		}
		catch (IOException ex) {
			throw new SettingsException(new SettingFault(path.toString(), "", "",
					"the file cannot be read (" + ex.getClass().getSimpleName() + ")",
					"check the path and its permissions"), ex);
		}
	}

	/**
	 * Parses INI text.
	 * @param name the name of the file in fault messages
	 * @param reader the text
	 * @return the file with its sections
	 * @throws IOException if the reader fails
	 * @throws SettingsException if the text is not INI
	 */
	public static IniFile parse(String name, Reader reader) throws IOException {
		INIConfiguration ini = new INIConfiguration();
		try {
			ini.read(reader);
		}
		catch (ConfigurationException ex) {
			throw new SettingsException(
					new SettingFault(name, "", "", ex.getMessage(), "write sections of 'key = value' lines"), ex);
		}
		List<IniSection> sections = new ArrayList<>();
		for (String section : ini.getSections()) {
			sections.add(new IniSection((section != null) ? section : "", values(ini.getSection(section))));
		}
		return new IniFile(name, sections);
	}

	/**
	 * Finds a section.
	 * @param section the name
	 * @return the section
	 */
	public Optional<IniSection> section(String section) {
		return this.sections.stream().filter((candidate) -> candidate.name().equals(section)).findFirst();
	}

	private static Map<String, String> values(SubnodeConfiguration section) {
		Map<String, String> values = new LinkedHashMap<>();
		Iterator<String> keys = section.getKeys();
		while (keys.hasNext()) {
			String key = keys.next();
			values.put(key.replace("..", "."), String.join(",", section.getList(String.class, key)));
		}
		return values;
	}

}
