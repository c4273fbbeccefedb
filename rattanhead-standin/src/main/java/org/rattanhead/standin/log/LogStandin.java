package org.rattanhead.standin.log;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;
import org.rattanhead.standin.http.ErrorBody;
import org.rattanhead.standin.http.Reply;
import org.rattanhead.standin.http.StandinServer;

/**
 * A stand-in for the append-only log service. A stream is created by the first append or
 * read that names it.
 */
public final class LogStandin implements AutoCloseable {

	private static final int RING_SLOTS = 4_096;

	private static final int CREATED = 201;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final long TICK_MILLIS = 20;

	private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final LogLimits limits;

	private final Ticker ticker = new Ticker("log-standin-ticker");

	private final Map<String, LogStream> streams = new HashMap<>();

	private final List<WaitingRead> waitingReads = new ArrayList<>();

	private final HandlerTable<LogEvent, Boolean> handlers = new HandlerTable<>();

	private final Duty<LogEvent> duty;

	private final StandinServer server;

	private volatile LogFaults faults = LogFaults.NONE;

	private double appendTokens;

	private long lastRefillNanos = System.nanoTime();

	/**
	 * Starts the service.
	 * @param address where it listens; port 0 for any free port
	 * @param limits its limits
	 */
	public LogStandin(InetSocketAddress address, LogLimits limits) {
		this.limits = limits;
		this.appendTokens = limits.appendsPerSecond();
		this.handlers.on(AppendRequested.class, this::append)
			.on(ReadRequested.class, this::read)
			.on(LogFaultsRequested.class, (event, now) -> applyFaults(event.faults()))
			.on(DeadlineCheckDue.class, (event, now) -> completeDueReads(now))
			.covering(LogEvent.class);
		this.duty = new Duty<>("log-standin", RING_SLOTS, System::nanoTime, this.handlers::handle);
		this.server = new StandinServer(address, new LogRoutes(this.duty));
		this.ticker.every(TICK_MILLIS, () -> this.duty.offer(new DeadlineCheckDue(), Urgency.STREAM));
	}

	/**
	 * Returns where the service listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Replaces the injected faults.
	 * @param newFaults the faults
	 */
	public void setFaults(LogFaults newFaults) {
		this.duty.offer(new LogFaultsRequested(newFaults), Urgency.CONTROL);
	}

	private boolean applyFaults(LogFaults newFaults) {
		this.faults = newFaults;
		return true;
	}

	private boolean append(AppendRequested event, long nowNanos) {
		if (this.faults.down()) {
			return complete(event.reply(), Reply.of(UNAVAILABLE, new ErrorBody("outage", "try again later")));
		}
		if (!takeAppendToken(nowNanos)) {
			return complete(event.reply(),
					Reply.of(TOO_MANY_REQUESTS, new ErrorBody("too many appends", "append fewer, larger records")));
		}
		long offset = stream(event.stream()).append(event.payload(), this.limits.retainedRecords());
		complete(event.reply(),
				this.faults.loseAnswers() ? Reply.noAnswer() : Reply.of(CREATED, new OffsetBody(offset)));
		return completeDueReads(nowNanos);
	}

	private boolean read(ReadRequested event, long nowNanos) {
		if (this.faults.down()) {
			return complete(event.reply(), Reply.of(UNAVAILABLE, new ErrorBody("outage", "try again later")));
		}
		this.waitingReads.add(new WaitingRead(event, nowNanos + TimeUnit.MILLISECONDS.toNanos(event.waitMillis())));
		return completeDueReads(nowNanos);
	}

	private boolean completeDueReads(long nowNanos) {
		return this.waitingReads.removeIf((waitingRead) -> {
			ReadRequested read = waitingRead.read();
			LogStream stream = stream(read.stream());
			boolean due = stream.endOffset() > read.fromOffset() || nowNanos >= waitingRead.deadlineNanos();
			if (due) {
				complete(read.reply(), Reply.ok(stream.page(read.fromOffset())));
			}
			return due;
		});
	}

	private boolean complete(CompletableFuture<Reply> reply, Reply value) {
		if (this.faults.delayMillis() > 0) {
			this.ticker.after(this.faults.delayMillis(), () -> reply.complete(value));
			return true;
		}
		return reply.complete(value);
	}

	private boolean takeAppendToken(long nowNanos) {
		double refill = (nowNanos - this.lastRefillNanos) * (double) this.limits.appendsPerSecond() / NANOS_PER_SECOND;
		this.appendTokens = Math.min(this.limits.appendsPerSecond(), this.appendTokens + refill);
		this.lastRefillNanos = nowNanos;
		if (this.appendTokens < 1) {
			return false;
		}
		this.appendTokens -= 1;
		return true;
	}

	private LogStream stream(String name) {
		return this.streams.computeIfAbsent(name, (key) -> new LogStream());
	}

	@Override
	public void close() {
		this.ticker.close();
		this.server.close();
		this.duty.close();
	}

}
