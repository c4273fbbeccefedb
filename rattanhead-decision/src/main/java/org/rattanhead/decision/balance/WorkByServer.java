package org.rattanhead.decision.balance;

import java.util.Collection;

/**
 * Compares the work of the servers of a service.
 */
public final class WorkByServer {

	private WorkByServer() {
	}

	/**
	 * Returns the ratio of the largest work to the mean.
	 * @param work the work of each server
	 * @return the ratio, 1 if there is no work
	 */
	public static double peakToMean(Collection<? extends Number> work) {
		double peak = 0;
		double sum = 0;
		for (Number value : work) {
			peak = Math.max(peak, value.doubleValue());
			sum += value.doubleValue();
		}
		return (sum > 0) ? peak * work.size() / sum : 1;
	}

}
