package org.rattanhead.decision.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the bounds of {@link WorkKeys}.
 */
class WorkKeysTests {

	/** Guards against LOST: messages with ever new work filled the memory. */
	@ParameterizedTest(name = "{0} daemons with {1} keys each: {2} kept")
	@CsvSource({ "1, 1000, 1000", "64, 1000, 64000", "1, 100000, 8192", "64, 10000, 65536" })
	void keepsBoundedNumberOfKeys(int hosts, int keysPerHost, int kept) {
		WorkKeys keys = new WorkKeys();
		int added = 0;
		for (int host = 0; host < hosts; host++) {
			for (int key = 0; key < keysPerHost; key++) {
				added += keys.add("h" + host, host + "-" + key, "i") ? 1 : 0;
			}
		}
		assertThat(added).isEqualTo(kept);
		assertThat(keys.add("h0", "0-0", "i")).as("a known key is added again").isTrue();
		assertThat(keys.remove("h0", "0-0")).contains("i");
		assertThat(keys.add("h0", "new", "i")).as("a key was removed").isTrue();
	}

}
