package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;
import org.rattanhead.adapter.standin.RawServer;

/**
 * A server that answers everything and, from some moment on, names in its answers the
 * requests a second that it takes. It records what arrives from gateways that it has
 * informed, by the gateway that the id of the attempt names.
 */
final class LimitServer implements AutoCloseable {

	private static final long STABLE_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long ANSWER_DELAY_MILLIS = 10;

	private final RawServer server = new RawServer((request) -> answer(request).delayedBy(ANSWER_DELAY_MILLIS));

	private final Map<String, Long> toldNanos = new HashMap<>();

	private final List<Long> arrivalsNanos = new ArrayList<>();

	private double limitPerSecond;

	private long sinceNanos;

	LimitServer() throws IOException {
		// The server is started by the initializer of its field.
	}

	InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Changes what the answers name and forgets what arrived before.
	 * @param perSecond the limit; 0 for none
	 */
	synchronized void startNaming(double perSecond) {
		this.limitPerSecond = perSecond;
		this.sinceNanos = System.nanoTime();
		this.toldNanos.clear();
		this.arrivalsNanos.clear();
	}

	/**
	 * Returns the most arrivals in 4 s of informed gateways, as from 3 s after the limit
	 * was named.
	 * @return the number
	 */
	synchronized int mostArrivals() {
		int most = 0;
		int oldest = 0;
		for (int newest = 0; newest < this.arrivalsNanos.size(); newest++) {
			while (this.arrivalsNanos.get(newest) - this.arrivalsNanos.get(oldest) >= WINDOW_NANOS) {
				oldest++;
			}
			if (this.arrivalsNanos.get(newest) - this.sinceNanos >= STABLE_WINDOW_NANOS) {
				most = Math.max(most, newest - oldest + 1);
			}
		}
		return most;
	}

	synchronized int arrivals() {
		return this.arrivalsNanos.size();
	}

	/**
	 * Returns the most arrivals in 4 s that the rule allows.
	 * @return the number
	 */
	synchronized double allowedArrivals() {
		return 1.5 * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS) * this.limitPerSecond + 5;
	}

	private synchronized RawAnswer answer(RawRequest request) {
		if (this.limitPerSecond == 0) {
			return NoticeAnswers.of(request, "200 OK", "");
		}
		long nowNanos = System.nanoTime();
		Long told = this.toldNanos.putIfAbsent(request.header("X-Attempt-Id").split("-")[0], nowNanos);
		if (told != null && nowNanos - told >= TOLD_NANOS) {
			this.arrivalsNanos.add(nowNanos);
		}
		return NoticeAnswers.of(request, "200 OK", "Server-Limit: " + this.limitPerSecond + "\r\n");
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
