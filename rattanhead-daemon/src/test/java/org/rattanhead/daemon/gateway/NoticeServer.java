package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;
import org.rattanhead.adapter.standin.RawServer;

/**
 * A server that answers everything and, from some moment on, says in its answers that it
 * leaves, or answers each gateway once with 503 and a time in which it wants no requests.
 * It counts what arrives against its word, by the gateway that the id of the attempt
 * names.
 */
final class NoticeServer implements AutoCloseable {

	private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private static final long QUIET_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long ANSWER_DELAY_MILLIS = 10;

	private static final String RETRY_AFTER = "Retry-After: ";

	private final RawServer server = new RawServer((request) -> answer(request).delayedBy(ANSWER_DELAY_MILLIS));

	/** When each gateway first got the notice, by its name. */
	private final Map<String, Long> toldNanos = new ConcurrentHashMap<>();

	private final Map<String, Long> lateByGateway = new ConcurrentHashMap<>();

	private final Map<String, Long> inQuietTimeByGateway = new ConcurrentHashMap<>();

	private volatile String field = "";

	NoticeServer() throws IOException {
		// The server is started by the initializer of its field.
	}

	InetSocketAddress address() {
		return this.server.address();
	}

	void startSending(String newField) {
		this.field = newField;
	}

	long lateArrivals() {
		return this.lateByGateway.values().stream().mapToLong(Long::longValue).sum();
	}

	long mostArrivalsInQuietTime() {
		return this.inQuietTimeByGateway.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	private RawAnswer answer(RawRequest request) {
		long nowNanos = System.nanoTime();
		String gateway = request.header("X-Attempt-Id").split("-")[0];
		if (this.field.isEmpty()) {
			return NoticeAnswers.of(request, "200 OK", "");
		}
		Long told = this.toldNanos.putIfAbsent(gateway, nowNanos);
		if (!this.field.startsWith(RETRY_AFTER)) {
			if (told != null && nowNanos - told > DRAIN_NANOS) {
				this.lateByGateway.merge(gateway, 1L, Long::sum);
			}
			return NoticeAnswers.of(request, "200 OK", this.field + "\r\n");
		}
		if (told == null) {
			return NoticeAnswers.of(request, "503 Busy", this.field + "\r\nX-Not-Executed: 1\r\n");
		}
		double quietSeconds = Double.parseDouble(this.field.substring(RETRY_AFTER.length()));
		long elapsedNanos = nowNanos - told;
		if (elapsedNanos > QUIET_SLACK_NANOS && elapsedNanos < quietSeconds * TimeUnit.SECONDS.toNanos(1)) {
			this.inQuietTimeByGateway.merge(gateway, 1L, Long::sum);
		}
		return NoticeAnswers.of(request, "200 OK", "");
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
