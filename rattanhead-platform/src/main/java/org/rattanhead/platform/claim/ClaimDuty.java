package org.rattanhead.platform.claim;

import java.util.ArrayList;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.decision.claim.AppendClaims;
import org.rattanhead.decision.claim.ClaimCommand;
import org.rattanhead.decision.claim.ClaimDecider;
import org.rattanhead.decision.claim.ClaimEvent;
import org.rattanhead.decision.claim.ClaimOrderReceived;
import org.rattanhead.decision.claim.ClaimPlacement;
import org.rattanhead.decision.claim.ClaimTick;
import org.rattanhead.decision.claim.ClaimWriterChanged;
import org.rattanhead.decision.claim.ClaimsAppended;
import org.rattanhead.decision.claim.ClaimsRead;
import org.rattanhead.decision.claim.ClaimsReadFailed;
import org.rattanhead.decision.claim.LoggedRecord;
import org.rattanhead.decision.claim.ReadClaims;
import org.rattanhead.decision.claim.SendVerdict;
import org.rattanhead.platform.LogPage;
import org.rattanhead.platform.LogRecord;
import org.rattanhead.platform.LogService;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Urgency;

/**
 * The duty that writes and reads the claims in the log service, in one stream per shard.
 */
public final class ClaimDuty implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(ClaimDuty.class);

	private static final int RING_SLOTS = 16_384;

	private static final int IDLE_TICK_INTERVAL = 100;

	private static final long READ_WAIT_MILLIS = 1_000;

	private final LogService log;

	private final VerdictSink verdictSink;

	private final List<ClaimDecider> deciders = new ArrayList<>();

	private final List<HandlerTable<ClaimCommand, Boolean>> commandHandlers = new ArrayList<>();

	private final Duty<ShardEvent> duty;

	private volatile boolean idle;

	private long ticks;

	/**
	 * Starts the duty.
	 * @param log the log service
	 * @param maxBatchRecords the maximum number of claims in one append
	 * @param verdictSink sends verdicts to entry daemons
	 */
	public ClaimDuty(LogService log, int maxBatchRecords, VerdictSink verdictSink) {
		this.log = log;
		this.verdictSink = verdictSink;
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			this.deciders.add(new ClaimDecider(maxBatchRecords));
			this.commandHandlers.add(commandHandlers(shard));
		}
		this.duty = new Duty<>("claims", RING_SLOTS, System::nanoTime, this::handle);
	}

	/**
	 * Submits an order of an entry daemon.
	 * @param fromHost the entry daemon
	 * @param order the order
	 * @return false if the ring is full
	 */
	public boolean submit(String fromHost, ClaimOrder order) {
		Urgency urgency = (order instanceof AcquireClaim) ? Urgency.NEW_WORK : Urgency.CONTROL;
		return this.duty
			.offer(new ShardEvent(ClaimPlacement.shard(order.key()), new ClaimOrderReceived(fromHost, order)), urgency);
	}

	/**
	 * Sets whether this daemon writes the claims of a shard.
	 * @param shard the shard
	 * @param writer true if this daemon is the writer
	 */
	public void setWriter(int shard, boolean writer) {
		this.duty.offer(new ShardEvent(shard, new ClaimWriterChanged(writer)), Urgency.CONTROL);
	}

	/**
	 * Advances the time of all shards. While all shards are idle, only one tick in
	 * {@value #IDLE_TICK_INTERVAL} is passed on.
	 */
	public void tick() {
		this.ticks++;
		if (this.idle && this.ticks % IDLE_TICK_INTERVAL != 0) {
			return;
		}
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			this.duty.offer(new ShardEvent(shard, new ClaimTick()), Urgency.STREAM);
		}
	}

	/**
	 * Returns the duty, for its metrics.
	 * @return the duty
	 */
	public Duty<?> duty() {
		return this.duty;
	}

	private void handle(ShardEvent event, long nowNanos) {
		HandlerTable<ClaimCommand, Boolean> commands = this.commandHandlers.get(event.shard());
		this.deciders.get(event.shard())
			.decide(event.event(), nowNanos)
			.forEach((command) -> commands.handle(command, nowNanos));
		this.idle = this.deciders.stream().allMatch(ClaimDecider::idle);
	}

	private HandlerTable<ClaimCommand, Boolean> commandHandlers(int shard) {
		return new HandlerTable<ClaimCommand, Boolean>()
			.on(AppendClaims.class, (command, now) -> append(shard, command))
			.on(ReadClaims.class, (command, now) -> read(shard, command))
			.on(SendVerdict.class, (command, now) -> send(command))
			.covering(ClaimCommand.class);
	}

	private boolean append(int shard, AppendClaims command) {
		this.log.append(stream(shard), ClaimJson.encode(command.records()))
			.whenComplete((offset, failure) -> offer(shard, new ClaimsAppended(failure == null)));
		return true;
	}

	private boolean read(int shard, ReadClaims command) {
		this.log.read(stream(shard), command.fromOffset(), command.caughtUp() ? READ_WAIT_MILLIS : 0)
			.thenApply((page) -> decode(command.fromOffset(), page))
			.whenComplete((page, failure) -> offer(shard, (failure != null) ? new ClaimsReadFailed() : page));
		return true;
	}

	private boolean send(SendVerdict command) {
		this.verdictSink.send(command.toHost(), command.verdict());
		return true;
	}

	private void offer(int shard, ClaimEvent event) {
		this.duty.offer(new ShardEvent(shard, event), Urgency.CONTROL);
	}

	private static ClaimsRead decode(long fromOffset, LogPage page) {
		List<LoggedRecord> records = new ArrayList<>();
		for (LogRecord record : page.records()) {
			try {
				ClaimJson.decode(record.payload())
					.forEach((claim) -> records.add(new LoggedRecord(record.offset(), claim)));
			}
			catch (RemedyException ex) {
				LOGGER.error("claims: skipped the record at offset {}: {}", record.offset(), ex.getMessage());
			}
		}
		return new ClaimsRead(fromOffset, page.firstOffset(), page.nextOffset(), records);
	}

	private static String stream(int shard) {
		return "claims-" + shard;
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
