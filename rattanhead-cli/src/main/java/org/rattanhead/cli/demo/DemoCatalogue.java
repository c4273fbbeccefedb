package org.rattanhead.cli.demo;

import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.platform.catalogue.CatalogueFile;
import org.rattanhead.settings.IniFile;

/**
 * Reads the catalogue of the demonstration.
 */
public final class DemoCatalogue {

	private static final String RESOURCE = "/examples/catalogue.ini";

	private DemoCatalogue() {
	}

	/**
	 * Reads a catalogue.
	 * @param path the file, null for the one shipped with the command
	 * @return the catalogue
	 */
	public static Catalogue read(Path path) {
		return (path != null) ? CatalogueFile.read(path) : shipped();
	}

	/**
	 * Reads the catalogue shipped with the command.
	 * @return the catalogue
	 */
	public static Catalogue shipped() {
		try (InputStream stream = DemoCatalogue.class.getResourceAsStream(RESOURCE);
				Reader reader = new InputStreamReader(stream, StandardCharsets.UTF_8)) {
			return CatalogueFile.parse(IniFile.parse("examples/catalogue.ini", reader));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("The shipped catalogue cannot be read; build the command again", ex);
		}
	}

}
