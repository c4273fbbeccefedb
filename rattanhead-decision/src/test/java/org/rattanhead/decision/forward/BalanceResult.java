package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.rattanhead.decision.balance.WorkByServer;

/**
 * What a balancing simulation measured.
 */
final class BalanceResult {

	private final List<Double> peakToMean = new ArrayList<>();

	private final List<Double> waitMillis = new ArrayList<>();

	private int arrivals;

	private int rejections;

	void window(List<Double> work) {
		this.peakToMean.add(WorkByServer.peakToMean(work));
	}

	void waited(double millis) {
		this.waitMillis.add(millis);
	}

	void arrived() {
		this.arrivals++;
	}

	void rejected() {
		this.rejections++;
	}

	double peakToMean() {
		return this.peakToMean.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
	}

	double p99WaitMillis() {
		Collections.sort(this.waitMillis);
		return this.waitMillis.get(this.waitMillis.size() * 99 / 100);
	}

	/**
	 * Returns the share of the arrivals that were rejected, including repeated ones.
	 * @return the share
	 */
	double rejectedShare() {
		return this.rejections / (double) this.arrivals;
	}

}
