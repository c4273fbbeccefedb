package org.rattanhead.platform.keyed;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.RecordDifference;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Records as differences, and which of them are sent.
 */
class DifferenceCodecTests {

	private static final int MAX_STORM_BYTES = 1_024;

	@ParameterizedTest(name = "from {0} to {1} routes")
	@CsvSource({ "240, 240", "240, 243", "1840, 1840", "1840, 1700", "4240, 4241" })
	void restoresTheValueFromASmallDifference(int baseRoutes, int routes) {
		KeyedRecord base = configuration(2, baseRoutes);
		KeyedRecord changed = configuration(3, routes);
		RecordDifference difference = DifferenceCodec.encode(base, changed);
		assertThat(difference.difference().length()).isLessThan(MAX_STORM_BYTES);
		assertThat(DifferenceCodec.decode(base, difference)).map(DifferenceCodecTests::text)
			.hasValue(LargeConfiguration.text(3, routes));
	}

	static Stream<Arguments> damages() {
		return Stream.of(damage("truncated", (bytes) -> Arrays.copyOf(bytes, bytes.length / 2)),
				damage("empty", (bytes) -> new byte[0]), damage("not VCDIFF", (bytes) -> new byte[bytes.length]),
				damage("a byte changed", (bytes) -> {
					byte[] changed = bytes.clone();
					changed[bytes.length - 1] ^= 1;
					return changed;
				}));
	}

	/** Guards against a value that no operator wrote. */
	@ParameterizedTest(name = "{0}")
	@MethodSource("damages")
	void rejectsADamagedDifference(String name, UnaryOperator<byte[]> damage) {
		KeyedRecord base = configuration(2, 240);
		RecordDifference sound = DifferenceCodec.encode(base, configuration(3, 240));
		RecordDifference damaged = new RecordDifference(sound.key(), sound.baseChecksum(), sound.checksum(),
				new Payload(damage.apply(sound.difference().bytes())));
		assertThat(DifferenceCodec.decode(base, damaged)).isEmpty();
	}

	/** Guards against a difference that is applied to another version than its base. */
	@ParameterizedTest(name = "version {0} of {1} routes")
	@CsvSource({ "1, 240", "2, 241" })
	void rejectsAnotherBase(int version, int routes) {
		RecordDifference difference = DifferenceCodec.encode(configuration(2, 240), configuration(3, 240));
		assertThat(DifferenceCodec.decode(configuration(version, routes), difference)).isEmpty();
	}

	/** Guards against messages to all daemons that fill the link of their sender. */
	@ParameterizedTest(name = "from {0} to {1} routes: sent {2}")
	@CsvSource({ "240, 242, true", "240, 1840, false", "1840, 1842, true", "1840, 1924, false" })
	void sendsSmallDifferencesOnly(int baseRoutes, int routes, boolean sent) {
		LargeRecords large = LargeRecords.select(List.of(configuration(2, 1), configuration(3, routes)));
		assertThat(large.others()).isEmpty();
		assertThat(large.differences(Map.of("config", configuration(1, baseRoutes))).isPresent()).isEqualTo(sent);
	}

	private static KeyedRecord configuration(int version, int routes) {
		return new KeyedRecord("config", Optional.of(Payload.of(LargeConfiguration.text(version, routes))));
	}

	private static String text(KeyedRecord record) {
		return record.value().orElseThrow().text();
	}

	private static Arguments damage(String name, UnaryOperator<byte[]> damage) {
		return Arguments.of(name, damage);
	}

}
