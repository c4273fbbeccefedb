package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers of several gateways, each with one request at a time, of all kinds of routes in
 * turn. The id of an attempt begins with the name of its gateway.
 */
final class NoticeLoad {

	/** The tests judge what gateways do after their start, not how long it takes. */
	private static final long START_TIMEOUT_SECONDS = 20;

	private static final List<String> PATHS = List.of("/look/a", "/order/a", "/ask/a");

	private static final long PAUSE_MILLIS = 40;

	/** A refusal that takes longer was held although it could not be served. */
	private static final long PROMPT_REFUSAL_MILLIS = 500;

	private final List<GatewayProcess> gateways;

	private final int callersPerGateway;

	private final AtomicLong sent = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final AtomicLong refused = new AtomicLong();

	NoticeLoad(List<GatewayProcess> gateways, int callersPerGateway) {
		this.gateways = gateways;
		this.callersPerGateway = callersPerGateway;
	}

	long sent() {
		return this.sent.get();
	}

	double servedShare() {
		return this.served.get() / (double) this.sent.get();
	}

	/**
	 * Returns the requests that were refused at once, with a time to return.
	 * @return the number
	 */
	long refused() {
		return this.refused.get();
	}

	long failed() {
		return this.sent.get() - this.served.get() - this.refused.get();
	}

	boolean accepts(int gateway) {
		return isServed(call(gateway, "/look/a", "w"));
	}

	void awaitServed() throws IOException, InterruptedException {
		for (int gateway = 0; gateway < this.gateways.size(); gateway++) {
			int index = gateway;
			try {
				GatewayRig.await(() -> accepts(index), START_TIMEOUT_SECONDS);
			}
			catch (AssertionError ex) {
				throw new AssertionError("gateway " + index + " did not start: " + this.gateways.get(index).log(), ex);
			}
		}
	}

	void run(long millis) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		List<Thread> callers = new ArrayList<>();
		for (int gateway = 0; gateway < this.gateways.size(); gateway++) {
			for (int caller = 0; caller < this.callersPerGateway; caller++) {
				int index = gateway;
				String name = "c" + caller;
				callers.add(new Thread(() -> callUntil(endNanos, index, name), "notice-caller"));
			}
		}
		callers.forEach(Thread::start);
		for (Thread caller : callers) {
			caller.join();
		}
	}

	private void callUntil(long endNanos, int gateway, String name) {
		for (int call = 0; System.nanoTime() < endNanos; call++) {
			long startNanos = System.nanoTime();
			String answer = call(gateway, PATHS.get(call % PATHS.size()), name + "-" + call);
			long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			if (!answer.isEmpty() || this.gateways.get(gateway).isAlive()) {
				this.sent.incrementAndGet();
			}
			this.served.addAndGet(isServed(answer) ? 1 : 0);
			this.refused.addAndGet((isRefused(answer) && elapsedMillis < PROMPT_REFUSAL_MILLIS) ? 1 : 0);
			try {
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private static boolean isServed(String answer) {
		return answer.startsWith("HTTP/1.1 200");
	}

	private static boolean isRefused(String answer) {
		return answer.startsWith("HTTP/1.1 503") && answer.toLowerCase(Locale.ROOT).contains("\r\nretry-after: ");
	}

	private String call(int gateway, String path, String name) {
		try (RawCaller caller = new RawCaller(this.gateways.get(gateway).callersAddress())) {
			return caller.send(RawCaller.request("POST", path, "g" + gateway + "-" + name, "body")).answer();
		}
		catch (IOException ex) {
			return "";
		}
	}

}
