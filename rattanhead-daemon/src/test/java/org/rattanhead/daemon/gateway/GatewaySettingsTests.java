package org.rattanhead.daemon.gateway;

import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.SettingsException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests the parsing of valid and invalid gateway settings, and their reload.
 */
class GatewaySettingsTests {

	private static final String VALID = """
			[gateway]
			host = a
			callers = 10.0.0.1:1
			ready = 10.0.0.1:2
			directory = 10.0.0.1:3
			mesh = 10.0.0.1:4
			metrics = 10.0.0.1:5
			processor-share = 0.75
			processor-speed = 2
			[platform]
			store = 10.0.0.9:1
			[limits]
			retry-ratio = 0.2
			retry-slack = 106
			retry-window = 10s
			max-hold = 20000ms
			shutdown-grace = 8s
			""";

	@TempDir
	private Path folder;

	@ParameterizedTest(name = "retry-slack = {0}")
	@ValueSource(strings = { "106", "43.50877192982456", "0" })
	void readsEverySetting(String slack) throws Exception {
		GatewaySettings settings = GatewaySettingsFile
			.parse(file(VALID.replace("retry-slack = 106", "retry-slack = " + slack)));
		assertThat(settings.limits().retryRatio()).isEqualTo(0.2);
		assertThat(settings.limits().retrySlack()).isEqualTo(Double.parseDouble(slack));
		assertThat(settings.graceMillis()).isEqualTo(8_000);
		assertThat(settings.processorCores()).isEqualTo(1.5);
		assertThat(settings.meshAddress().getPort()).isEqualTo(4);
	}

	@ParameterizedTest(name = "\"{0}\": {1}")
	@CsvSource({ "'', 17", "'[placement]\n', 17", "'[placement]\neven-load-from = 1\n', 1",
			"'[placement]\neven-load-from = 40\n', 40" })
	void readsFleetFromWhichLoadIsPlacedEvenly(String section, int expected) throws Exception {
		assertThat(GatewaySettingsFile.parse(file(VALID + section)).limits().evenLoadFrom()).isEqualTo(expected);
	}

	@ParameterizedTest(name = "\"{0}\": {1}")
	@CsvSource({ "'', 17", "'[placement]\nrefuse-from = 9\n', 9" })
	void readsFleetFromWhichRequestsAreRefused(String section, int expected) throws Exception {
		assertThat(GatewaySettingsFile.parse(file(VALID + section)).limits().refuseFrom()).isEqualTo(expected);
	}

	@ParameterizedTest(name = "{0} -> {1}")
	@CsvSource(delimiter = '|', value = { "host = a||host", "callers = 10.0.0.1:1|callers = name:1|callers",
			"retry-ratio = 0.2|retry-ratio = x|retry-ratio", "processor-share = 0.75|processor-share = all|share",
			"retry-ratio = 0.2|retry-ratio = 2|retry-ratio", "retry-window = 10s|retry-window = 10|retry-window",
			"store = 10.0.0.9:1|stores = 10.0.0.9:1|store", "[limits]|[limit]|limit",
			"[limits]|'[placement]\neven-load-from = 0\n[limits]'|even-load-from",
			"[limits]|'[placement]\neven-load = 9\n[limits]'|even-load" })
	void namesInvalidSetting(String valid, String invalid, String expected) {
		String text = VALID.replace(valid, (invalid != null) ? invalid : "");
		assertThatExceptionOfType(SettingsException.class).isThrownBy(() -> GatewaySettingsFile.parse(file(text)))
			.withMessageContaining(expected);
	}

	@ParameterizedTest(name = "{0} -> {1}: level {2}")
	@CsvSource({ "host = a, host = a, INFO", "[gateway], [logs]\\nlevel = debug\\n[gateway], DEBUG",
			"retry-ratio = 0.2, retry-ratio = x, INFO", "host = a, host = b, INFO" })
	void appliesLogLevelOnReload(String from, String to, String level) throws Exception {
		Path path = Files.writeString(this.folder.resolve("gateway.ini"), VALID);
		GatewayReload reload = new GatewayReload(path, GatewaySettingsFile.parse(IniFile.read(path)));
		GatewayLogs.apply(Level.INFO);
		Files.writeString(path, VALID.replace(from, to.replace("\\n", "\n")));
		reload.run();
		assertThat(LogManager.getLogger(GatewayLogs.DECISIONS).getLevel()).isEqualTo(Level.getLevel(level));
	}

	private IniFile file(String text) throws Exception {
		return IniFile.read(Files.writeString(this.folder.resolve("gateway.ini"), text));
	}

}
