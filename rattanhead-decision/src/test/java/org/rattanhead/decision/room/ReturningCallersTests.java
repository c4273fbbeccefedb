package org.rattanhead.decision.room;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Millis;
import org.rattanhead.decision.room.ReturningCallers.Arrival;
import org.rattanhead.decision.room.ReturningCallers.CallerKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Callers refused at 1,000 ms that may return at 1,500 ms.
 */
class ReturningCallersTests {

	private static final CallerKey CALLER = new CallerKey("atelier", 7);

	// Guards against a preference for callers that return too early, too late or for
	// another caller.
	@ParameterizedTest(name = "{0} {1} at {2} ms: {3}")
	@CsvSource({ "atelier, 7, 900, FIRST", "atelier, 7, 1020, EARLY", "atelier, 7, 1470, EARLY",
			"atelier, 7, 1490, RETURNING", "atelier, 7, 3400, RETURNING", "atelier, 7, 3600, FIRST",
			"atelier, 8, 1500, FIRST", "other, 7, 1500, FIRST" })
	void recognisesReturns(String workspace, long fingerprint, long arrivalMillis, Arrival arrival) {
		ReturningCallers callers = refused();
		callers.refused(CALLER, Millis.toNanos(9_000), Millis.toNanos(1_020));
		assertThat(callers.arrival(new CallerKey(workspace, fingerprint), Millis.toNanos(arrivalMillis)))
			.isEqualTo(arrival);
	}

	// Guards against a preference for further copies of a request that was accepted.
	@ParameterizedTest(name = "at {0} ms")
	@ValueSource(longs = { 1_400, 1_600 })
	void forgetsAcceptedCallers(long arrivalMillis) {
		ReturningCallers callers = refused();
		callers.accepted(CALLER);
		assertThat(callers.arrival(CALLER, Millis.toNanos(arrivalMillis))).isEqualTo(Arrival.FIRST);
	}

	// Guards against memory that grows with the refusals, and against expired entries.
	@ParameterizedTest(name = "{0} refusals: {1} expected")
	@CsvSource({ "1, 2", "5000, 4096" })
	void isBounded(int refusals, int expected) {
		ReturningCallers callers = refused();
		for (int refusal = 0; refusal < refusals; refusal++) {
			callers.refused(new CallerKey("atelier", 100 + refusal), Millis.toNanos(1_500), Millis.toNanos(1_000));
		}
		assertThat(callers.expected(Millis.toNanos(1_100))).isEqualTo(expected);
		assertThat(callers.expected(Millis.toNanos(3_600))).isZero();
	}

	private static ReturningCallers refused() {
		ReturningCallers callers = new ReturningCallers();
		callers.refused(CALLER, Millis.toNanos(1_500), Millis.toNanos(1_000));
		return callers;
	}

}
