package org.rattanhead.http.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The bytes of all request bodies stay within the budget, and small bodies go through
 * beside large ones.
 */
class BodyBudgetTests {

	private static final long MAX_BYTES = 10_000_000;

	/**
	 * Guards against LOST: small bodies that used no budget and together filled the heap,
	 * so that the I/O thread ended.
	 */
	@ParameterizedTest(name = "{0} small bodies of {1} bytes beside a large one: {2} admitted")
	@CsvSource({ "100, 60000, 100", "1300, 60000, 165", "200, 65536, 151" })
	void boundsSmallBodiesTogether(int bodies, long bodyBytes, int admitted) {
		BodyBudget budget = new BodyBudget(MAX_BYTES);
		assertThat(new BodyReservation(budget).extendTo(MAX_BYTES)).isTrue();
		int count = 0;
		for (int body = 0; body < bodies; body++) {
			count += new BodyReservation(budget).extendTo(bodyBytes) ? 1 : 0;
		}
		assertThat(count).isEqualTo(admitted);
	}

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
		assertThat(budget.extend(0, MAX_BYTES)).as("all bytes are free again").isTrue();
	}

}
