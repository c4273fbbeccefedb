package org.rattanhead.platform.keyed;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.keyed.StreamPosition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Comparisons of positions.
 */
class StreamPositionTests {

	/** Guards against CONFIG: offsets of different eras that order positions. */
	@ParameterizedTest(name = "{0}/{1} and {2}/{3}")
	@CsvSource({ "1, 7, 1, 7, true, false, false", "1, 8, 1, 7, true, true, false", "1, 6, 1, 7, false, false, false",
			"2, 1, 1, 7, false, false, true", "1, 9, 2, 1, false, false, false", "0, 9, 2, 1, false, false, false",
			"2, 0, 0, 9, false, false, true" })
	void ordersOffsetsOfOneEraOnly(long era, long offset, long otherEra, long otherOffset, boolean reaches,
			boolean after, boolean later) {
		StreamPosition position = new StreamPosition(era, offset);
		StreamPosition other = new StreamPosition(otherEra, otherOffset);
		assertThat(position.reaches(other)).isEqualTo(reaches);
		assertThat(position.isAfter(other)).isEqualTo(after);
		assertThat(position.isLaterEra(other)).isEqualTo(later);
	}

}
