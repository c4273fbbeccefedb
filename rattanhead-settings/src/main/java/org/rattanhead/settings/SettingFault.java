package org.rattanhead.settings;

/**
 * A fault in a settings file.
 *
 * @param file the file
 * @param section the section, empty for the file as a whole
 * @param key the key, empty for the section as a whole
 * @param fault what is wrong
 * @param remedy what to do about it
 */
public record SettingFault(String file, String section, String key, String fault, String remedy) {

	@Override
	public String toString() {
		String place = this.file + (this.section.isEmpty() ? "" : " [" + this.section + "]")
				+ (this.key.isEmpty() ? "" : " " + this.key);
		return place + ": " + this.fault + "; " + this.remedy;
	}

}
