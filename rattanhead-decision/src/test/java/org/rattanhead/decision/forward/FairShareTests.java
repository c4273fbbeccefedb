package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.fairness.WorkspaceShares;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a burst of one workspace (one hot key), alone or with callers that give
 * up and return at once, while another workspace needs less than its share. Guards
 * against a workspace that is served less because another one sends more.
 */
class FairShareTests {

	private static final int ENGINES = 8;

	private static final int GATEWAYS = 4;

	private static final long LOAD_MILLIS = 30_000;

	private static final long PATIENCE_MILLIS = 1_000;

	private static final long DEADLINE_MILLIS = 10_000;

	private static final double CAPACITY_PER_MILLI = ENGINES * RankedConfiguration.ENGINE.slots()
			/ (QueueingEngine.STREAM_MILLIS + 34.0);

	private final Random random = new Random(2);

	@ParameterizedTest(name = "small workspace {0}, large one {1} of the capacity, {2} tries, workspaces known {3}")
	@CsvSource({ "0.4, 0.8, 1, true", "0.4, 1.1, 1, true", "0.4, 1.6, 1, true", "0.4, 2.6, 1, true",
			"0.1, 2.9, 1, true", "0.4, 1.1, 3, true", "0.4, 2.6, 3, true", "0.4, 0.8, 1, false", "0.4, 1.1, 1, false",
			"0.4, 1.6, 1, false", "0.4, 2.6, 1, false", "0.1, 2.9, 1, false", "0.4, 1.1, 3, false",
			"0.4, 2.6, 3, false" })
	void keepsTheShareOfASmallWorkspace(double small, double large, int tries, boolean exchanged) {
		RankedFleet fleet = new RankedFleet(GATEWAYS, ENGINES, exchanged, RankedConfiguration.of(0, 1, 2));
		List<RequestId> sent = new ArrayList<>();
		offer(fleet, RankedConfiguration.SMALL_KEY, small, 1, sent);
		offer(fleet, RankedConfiguration.LARGE_KEY, large, tries, new ArrayList<>());
		fleet.advance(LOAD_MILLIS + DEADLINE_MILLIS);
		double served = sent.stream().filter(fleet::served).count() / (double) sent.size();
		assertThat(served).isGreaterThanOrEqualTo(0.9);
	}

	@ParameterizedTest(name = "{0} slots each, also unknown ones: {1} exceed their share")
	@CsvSource({ "5, 0", "5 5, 0", "5 6, 1", "1 9, 1", "2 16 24, 1", "3 3 3, 0", "1 1 1 9, 1", "2 4 9 9, 2" })
	void lendsUnusedShares(String slots, int exceeding) {
		WorkspaceShares shares = new WorkspaceShares();
		String[] parts = slots.split(" ");
		for (int workspace = 0; workspace <= parts.length; workspace++) {
			int used = (workspace == 0) ? 20 : Integer.parseInt(parts[workspace - 1]);
			for (int slot = 0; slot < used; slot++) {
				shares.add(workspace);
			}
		}
		int found = 0;
		for (int workspace = 0; workspace <= parts.length; workspace++) {
			found += shares.exceeds(workspace) ? 1 : 0;
		}
		assertThat(found).isEqualTo(exceeding);
	}

	private void offer(RankedFleet fleet, String key, double load, int tries, List<RequestId> sent) {
		double gapMillis = 1 / (load * CAPACITY_PER_MILLI);
		for (double atMillis = 0; atMillis < LOAD_MILLIS; atMillis -= gapMillis
				* Math.log(1 - this.random.nextDouble())) {
			fleet.after(Math.round(atMillis), () -> sent.add(attempt(fleet, key, tries)));
		}
	}

	private RequestId attempt(RankedFleet fleet, String key, int tries) {
		RequestId id = fleet.submit(this.random.nextInt(GATEWAYS), new OfferedPrompt("/short/", key, 5_000),
				DEADLINE_MILLIS);
		if (tries > 1) {
			fleet.after(PATIENCE_MILLIS, () -> {
				if (!fleet.begun(id)) {
					fleet.disconnect(id);
					attempt(fleet, key, tries - 1);
				}
			});
		}
		return id;
	}

}
