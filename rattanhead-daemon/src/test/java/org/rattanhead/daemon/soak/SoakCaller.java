package org.rattanhead.daemon.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

import org.rattanhead.daemon.gateway.RawCaller;

/**
 * A caller that sends requests one at a time. It sends up to eight on a connection, also
 * to a gateway that is shutting down, until the gateway closes the connection.
 */
final class SoakCaller implements Runnable {

	private static final int MAX_REQUESTS_PER_CONNECTION = 8;

	private static final long PAUSE_MILLIS = 15;

	private final String name;

	private final SoakFleet fleet;

	private final SoakLedger ledger;

	private final RandomGenerator random;

	private final AtomicBoolean stopped;

	private int sent;

	SoakCaller(String name, SoakFleet fleet, SoakLedger ledger, RandomGenerator random, AtomicBoolean stopped) {
		this.name = name;
		this.fleet = fleet;
		this.ledger = ledger;
		this.random = random;
		this.stopped = stopped;
	}

	@Override
	public void run() {
		while (!this.stopped.get()) {
			InetSocketAddress address = this.fleet.randomAddress(this.random);
			try (RawCaller caller = new RawCaller(address)) {
				int remaining = 1 + this.random.nextInt(MAX_REQUESTS_PER_CONNECTION);
				while (remaining > 0 && !this.stopped.get() && sendRequest(caller)) {
					remaining--;
				}
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			catch (IOException ex) {
				// The connection failed; the next iteration draws a gateway at random.
				continue;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private boolean sendRequest(RawCaller caller) {
		this.sent++;
		String attempt = this.name + "-" + this.sent;
		String path = this.random.nextBoolean() ? "/order/a" : "/look/a";
		String answer;
		try {
			answer = caller.send(RawCaller.request(path.startsWith("/order/") ? "POST" : "GET", path, attempt,
					path.startsWith("/order/") ? "an order" : ""))
				.answer();
		}
		catch (IOException ex) {
			answer = "<closed>";
		}
		this.ledger.record(new SoakOutcome(attempt, path, answer));
		return !answer.endsWith("<closed>") && !answer.toLowerCase(Locale.ROOT).contains("connection: close");
	}

}
