package org.rattanhead.platform.catalogue;

import java.io.IOException;
import java.io.StringReader;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.SettingsException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests of {@link CatalogueFile}.
 */
class CatalogueFileTests {

	private static final String CLASS = "[class counter]\nowner = ops\npriority = 0\ndeadline = 5s\nmax-deadline = 60s\n";

	static Stream<Arguments> faults() {
		return Stream.of(Arguments.of("[clas counter]\n", "does not name an entry"),
				Arguments.of("[class]\n", "does not name an entry"),
				Arguments.of(CLASS.replace("5s", "5"), "deadline: '5' is not a duration"),
				Arguments.of(CLASS.replace("5s", "0s"), "deadline: '0s' is not a duration"),
				Arguments.of(CLASS.replace("5s", "90s"), "max-deadline is below deadline"),
				Arguments.of(CLASS.replace("= 0", "= x"), "priority: 'x' is not a whole number"),
				Arguments.of(CLASS.replace("owner", "owners"), "owner: it is missing"),
				Arguments.of(CLASS + "colour = black\n", "colour: there is no such key"),
				Arguments.of("[failure-domain a]\nowner = o\nregion = r\nstate = gone\n", "write one of in, out"),
				Arguments.of("[upstream e]\nowner = o\nfailure-domain = a\nmodel = m\naddress = here\nslots = 1\n"
						+ "cold-start-slots = 1\n", "address: 'here' is not an address"));
	}

	@ParameterizedTest(name = "{1}")
	@MethodSource("faults")
	void reportsFileSectionKeyAndRemedy(String text, String fault) {
		SettingsException failure = catchThrowableOfType(SettingsException.class, () -> parse(text));
		assertThat(failure.getMessage()).contains("test.ini", fault, "; ");
		assertThat(failure.faults()).allSatisfy((found) -> assertThat(found.remedy()).isNotBlank());
	}

	@ParameterizedTest
	@MethodSource("manyFaults")
	void reportsAllFaultsAtOnce(String text, int count) {
		SettingsException failure = catchThrowableOfType(SettingsException.class, () -> parse(text));
		assertThat(failure.faults()).hasSize(count);
	}

	static Stream<Arguments> manyFaults() {
		return Stream.of(Arguments.of(CLASS.replace("5s", "5").replace("60s", "x").replace("= 0", "= -1"), 3),
				Arguments.of("[x]\n[y z]\n[class c]\n", 6));
	}

	@ParameterizedTest
	@MethodSource("catalogues")
	void readsEntries(String text, int entries) throws IOException {
		assertThat(parse(text).entries()).hasSize(entries);
	}

	static Stream<Arguments> catalogues() {
		return Stream.of(Arguments.of(CLASS, 1),
				Arguments.of(CLASS + "\n[service orders]\nowner = o\nnon-repeatable-paths = /orders, /fees\n", 2));
	}

	private static Catalogue parse(String text) throws IOException {
		return CatalogueFile.parse(IniFile.parse("test.ini", new StringReader(text)));
	}

}
