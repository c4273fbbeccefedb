package org.rattanhead.decision.register;

import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Millis;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Failure domains that are taken out while the store is restored from an older copy.
 */
class EvacuatedDomainsTests {

	/** Guards against EVAC: an evacuation that ends because a restored store lacks it. */
	@ParameterizedTest(name = "known {0}, in the copy {1}, written again {2}, after {3} ms: out {4}")
	@CsvSource({ "true, false, '', 0, true", "true, false, '', 4900, true", "true, false, '', 5100, false",
			"true, false, out, 9000, true", "true, false, back, 0, false", "false, true, '', 0, true",
			"false, true, back, 0, false", "true, true, back, 0, false" })
	void keepsDomainsOutUntilOperatorsWriteAgain(boolean known, boolean copied, String written, long millis,
			boolean out) {
		EvacuatedDomains evacuated = new EvacuatedDomains();
		if (known) {
			evacuated.add("z");
		}
		evacuated.onStoreRestored(0);
		evacuated.clear();
		if (copied) {
			evacuated.add("z");
		}
		switch (written) {
			case "out" -> evacuated.add("z");
			case "back" -> evacuated.remove("z");
			default -> {
			}
		}
		evacuated.expire(Millis.toNanos(millis));
		assertThat(evacuated.domains()).isEqualTo(out ? Set.of("z") : Set.of());
	}

}
