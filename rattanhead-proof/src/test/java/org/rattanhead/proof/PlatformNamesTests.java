package org.rattanhead.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The names of the platform occur in no module but the adapter in platform/.
 */
class PlatformNamesTests {

	private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "X-Attempt-Id", "X-Deadline-Remaining-Ms", "X-Token-Usage", "X-Prompt-Prefix",
			"X-Length-Hint", "X-Expect-Instance", "X-Request-Urgency", "X-Not-Executed", "X-Response-Signature",
			"X-Helpers", "X-Tenant", "ColdRemainingMs", "TargetLatencyMs", "TargetGapMs", "KvCapacityTokens",
			"log-append", "log-read", "log-newest", "keyed.op", "keyed.servers", "/rattanhead/readyz",
			"/rattanhead/resolve", "/rattanhead/order", "evacuate/" })
	void areUsedOnlyByPlatformAdapter(String name) throws IOException {
		assertThat(sourcesContaining("")).as("sources outside platform/").isNotEmpty();
		assertThat(sourcesContaining(name)).as("sources outside platform/ with '%s'", name).isEmpty();
	}

	private static List<Path> sourcesContaining(String text) throws IOException {
		try (Stream<Path> files = Files.walk(ROOT)) {
			return files.filter((file) -> file.toString().endsWith(".java"))
				.filter((file) -> file.toString().contains("/src/main/"))
				.filter((file) -> !ROOT.relativize(file).startsWith("platform"))
				.filter((file) -> contains(file, text))
				.toList();
		}
	}

	private static boolean contains(Path file, String text) {
		try {
			return Files.readString(file).contains(text);
		}
		catch (IOException ex) {
			throw new IllegalStateException("The source " + file + " cannot be read; check its permissions", ex);
		}
	}

}
