package org.rattanhead.http.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The bytes of all request bodies stay within the budget, and small bodies go through.
 */
class BodyBudgetTests {

	private static final long MAX_BYTES = 10_000_000;

	@ParameterizedTest(name = "bodies of {0} bytes: {1} of 100 admitted")
	@CsvSource({ "1000, 100", "65536, 100", "1065536, 10", "4065536, 2", "10065536, 1", "20000000, 0" })
	void admitsBodiesWithinBudget(long bodyBytes, int admitted) {
		BodyBudget budget = new BodyBudget(MAX_BYTES);
		List<BodyReservation> open = new ArrayList<>();
		for (int body = 0; body < 100; body++) {
			BodyReservation reservation = new BodyReservation(budget);
			if (reservation.extendTo(bodyBytes)) {
				open.add(reservation);
			}
		}
		assertThat(open).hasSize(admitted);
		open.forEach(BodyReservation::close);
		open.forEach(BodyReservation::close);
		assertThat(budget.reserve(MAX_BYTES)).as("all bytes are free again").isTrue();
	}

}
