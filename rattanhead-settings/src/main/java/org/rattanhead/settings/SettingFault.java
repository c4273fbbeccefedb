package org.rattanhead.settings;

/**
 * A fault in a settings file.
 *
 * @param file the file
 * @param section the section, or an empty string if the fault concerns the entire file
 * @param key the key, or an empty string if the fault concerns the entire section
 * @param fault what is wrong
 * @param remedy how to correct it
 */
public record SettingFault(String file, String section, String key, String fault, String remedy) {

	@Override
	public String toString() {
		String place = this.file + (this.section.isEmpty() ? "" : " [" + this.section + "]")
				+ (this.key.isEmpty() ? "" : " " + this.key);
		return place + ": " + this.fault + "; " + this.remedy;
	}

}
