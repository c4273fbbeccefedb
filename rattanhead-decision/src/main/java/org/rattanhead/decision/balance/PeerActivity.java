package org.rattanhead.decision.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.rattanhead.core.Millis;

/**
 * When each daemon last sent a message, and how much work it places on each service. The
 * state is lost at a restart and complete again after one heartbeat of each daemon.
 */
public final class PeerActivity {

	/** A daemon that was silent longer counts as this old. */
	private static final double MAX_AGE_MILLIS = 3_000;

	/**
	 * Daemons that place less than this share of the mean, such as standby daemons, have
	 * no slice.
	 */
	private static final double SLICE_RATE = 0.25;

	private final String self;

	private final Map<String, Long> lastMessageNanos = new HashMap<>();

	/** The time between the last two messages of each daemon. */
	private final Map<String, Long> gapNanos = new HashMap<>();

	private final Map<String, TreeMap<String, PlacementRate>> ratesByService = new HashMap<>();

	/**
	 * Creates the activity of a fleet.
	 * @param self the host of this daemon
	 */
	public PeerActivity(String self) {
		this.self = self;
	}

	/**
	 * Returns whether a host is this daemon.
	 * @param host the host
	 * @return true if it is
	 */
	public boolean isSelf(String host) {
		return this.self.equals(host);
	}

	/**
	 * Records a message of a daemon.
	 * @param host its host
	 * @param nowNanos the time on the monotonic clock
	 */
	public void messageReceived(String host, long nowNanos) {
		if (!isSelf(host)) {
			Long before = this.lastMessageNanos.put(host, nowNanos);
			this.gapNanos.put(host, (before != null) ? nowNanos - before : 0);
		}
	}

	/**
	 * Estimates how long ago the work in the last message of a daemon was placed, which
	 * is between this message and the one before it.
	 * @param host its host
	 * @return the time, in milliseconds
	 */
	public long entryAgeMillis(String host) {
		return Millis.ofNanos(this.gapNanos.getOrDefault(host, 0L)) / 2;
	}

	/**
	 * Records a request that a daemon placed.
	 * @param host its host
	 * @param service the service of the instance
	 * @param nowNanos the time on the monotonic clock
	 */
	public void placed(String host, String service, long nowNanos) {
		this.ratesByService.computeIfAbsent(service, (name) -> new TreeMap<>())
			.computeIfAbsent(host, (name) -> new PlacementRate(nowNanos))
			.count(nowNanos);
	}

	/**
	 * Forgets a daemon that no longer responds.
	 * @param host its host
	 */
	public void lost(String host) {
		this.lastMessageNanos.remove(host);
		this.gapNanos.remove(host);
		this.ratesByService.values().forEach((rates) -> rates.remove(host));
	}

	/**
	 * Summarises what is known of the work on a service.
	 * @param service the service
	 * @param daemons the number of daemons that place work, this one included
	 * @param nowNanos the time on the monotonic clock
	 * @return the summary
	 */
	public ServiceActivity of(String service, int daemons, long nowNanos) {
		Map<String, Double> rates = new TreeMap<>();
		this.ratesByService.getOrDefault(service, new TreeMap<>())
			.forEach((host, rate) -> rates.put(host, rate.perMilli(nowNanos)));
		double own = rates.getOrDefault(this.self, 0.0);
		double knownRate = -own;
		double weightedAge = 0;
		for (Map.Entry<String, Double> rate : rates.entrySet()) {
			knownRate += rate.getValue();
			weightedAge += isSelf(rate.getKey()) ? 0 : rate.getValue() * ageMillis(rate.getKey(), nowNanos);
		}
		int missing = Math.max(0, daemons - 1 - this.lastMessageNanos.size());
		double unknownRate = missing * knownRate / Math.max(1, this.lastMessageNanos.size());
		double othersRate = Math.max(0, knownRate + unknownRate);
		double age = (othersRate > 0) ? (weightedAge + unknownRate * MAX_AGE_MILLIS) / othersRate : 0;
		return sliced(age, othersRate, rates, missing);
	}

	private ServiceActivity sliced(double age, double othersRate, Map<String, Double> rates, int missing) {
		double mean = rates.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
		List<String> hosts = rates.keySet().stream().filter((host) -> rates.get(host) >= SLICE_RATE * mean).toList();
		int position = hosts.indexOf(this.self);
		if (missing > 0 || position < 0) {
			return new ServiceActivity(age, othersRate, 0, 0);
		}
		return new ServiceActivity(age, othersRate, position / (double) hosts.size(), 1.0 / hosts.size());
	}

	private double ageMillis(String host, long nowNanos) {
		Long last = this.lastMessageNanos.get(host);
		return (last != null) ? Math.min(MAX_AGE_MILLIS, Math.max(0, nowNanos - last) / (double) Millis.toNanos(1))
				: MAX_AGE_MILLIS;
	}

}
