package org.rattanhead.decision.balance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws the instances that a short request is offered to: those in the slice of this
 * daemon, whose load it knows best, and two others, to which it can move work that its
 * slice cannot hold. The others are drawn by their free capacity below the level that the
 * expected arrivals will fill, since all daemons prefer the instances that look idle.
 */
public final class CandidateDraw {

	private static final int RANDOM_CANDIDATES = 2;

	/**
	 * The arrivals that level the load, as a multiple of those since the last messages:
	 * as many follow before the next ones.
	 */
	private static final double ARRIVALS_FACTOR = 2;

	private CandidateDraw() {
	}

	/**
	 * Draws candidates.
	 * @param estimate the estimate that the active set comes from
	 * @param loads the estimated load of each instance
	 * @param usable whether each instance may be used
	 * @param random the random generator
	 * @return the positions of the candidates, without repetition
	 */
	public static List<Integer> draw(LoadEstimate estimate, double[] loads, boolean[] usable, RandomGenerator random) {
		List<Integer> chosen = new ArrayList<>();
		List<Integer> others = new ArrayList<>();
		for (int index = 0; index < estimate.active(); index++) {
			if (usable[index]) {
				((estimate.ownedPart(index) > 0) ? chosen : others).add(index);
			}
		}
		ServiceActivity activity = estimate.activity();
		double level = level(others.stream().mapToDouble((index) -> loads[index]).toArray(),
				1 + ARRIVALS_FACTOR * activity.othersPerMilli() * activity.ageMillis());
		for (int count = 0; count < RANDOM_CANDIDATES && !others.isEmpty(); count++) {
			chosen.add(others.remove(pick(others, loads, level, random)));
		}
		return chosen;
	}

	/**
	 * Returns the level up to which additional load fills the least loaded instances.
	 * @param loads the load of each instance
	 * @param added the additional load
	 * @return the level
	 */
	static double level(double[] loads, double added) {
		double[] sorted = loads.clone();
		Arrays.sort(sorted);
		double sum = added;
		int count = 0;
		while (count < sorted.length && (count == 0 || sum / count > sorted[count])) {
			sum += sorted[count];
			count++;
		}
		return sum / Math.max(1, count);
	}

	private static int pick(List<Integer> others, double[] loads, double level, RandomGenerator random) {
		double[] free = others.stream().mapToDouble((index) -> Math.max(0, level - loads[index])).toArray();
		double total = Arrays.stream(free).sum();
		if (total <= 0) {
			return random.nextInt(free.length);
		}
		double remaining = random.nextDouble() * total;
		int position = 0;
		while (position < free.length - 1 && remaining >= free[position]) {
			remaining -= free[position];
			position++;
		}
		return position;
	}

}
