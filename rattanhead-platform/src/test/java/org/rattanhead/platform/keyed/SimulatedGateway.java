package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.decision.register.MemberTable;
import org.rattanhead.decision.register.ServingDecider;

/**
 * The part of a gateway that calls the store and exchanges messages about members, in
 * virtual time.
 */
final class SimulatedGateway implements StreamPeers {

	private static final long HEARTBEAT_MILLIS = 700;

	/** When each value was applied first, in milliseconds. */
	final Map<String, Long> appliedMillis = new HashMap<>();

	final Member self;

	private final SimulatedFleet fleet;

	private final VirtualTime time;

	private final MemberTable table;

	private final ServingDecider serving;

	private final Map<KeyedStream, StreamReader> readers = new EnumMap<>(KeyedStream.class);

	private final FollowPlans plans = new FollowPlans();

	private final RecordWriter records;

	private final Random random;

	private final Set<KeyedStream> loaded = new HashSet<>();

	private final Map<String, String> current = new HashMap<>();

	private final List<Runnable> delayed = new ArrayList<>();

	private final Map<KeyedStream, Long> eras = new EnumMap<>(KeyedStream.class);

	private long lastEraMillis;

	private boolean serves;

	private boolean ended;

	private boolean frozen;

	private long heartbeats;

	SimulatedGateway(SimulatedFleet fleet, VirtualTime time, SimulatedStore store, String host, long seed) {
		this.fleet = fleet;
		this.time = time;
		this.self = new Member(host, time.millis(), host + ":1", host + ":2", 300);
		this.table = new MemberTable(this.self);
		Random random = new Random(seed);
		this.serving = new ServingDecider(random);
		KeyedStore connection = new EraWatch(new GuardedStore(store.connect(host), time::nanos, random),
				(era) -> run(() -> eraNamed(era, "")));
		this.records = new RecordWriter(connection, (delay, action) -> time.after(delay, () -> run(action)));
		this.random = random;
		for (KeyedStream stream : KeyedStream.values()) {
			Supplier<FollowPlan> plan = () -> this.plans.plan(stream);
			StreamReader[] reader = new StreamReader[1];
			reader[0] = new StreamReader(connection, plan, new ReadSchedule(plan, random, time.nanos()),
					new Listener(stream), this, this::moved, time,
					(event) -> run(() -> reader[0].handle(event, time.nanos())));
			this.readers.put(stream, reader[0]);
			run(() -> reader[0].handle(new ReadDue(0), time.nanos()));
		}

		time.after(HEARTBEAT_MILLIS, this::heartbeatDue);
	}

	/**
	 * Returns the newest value of each key that this gateway knows.
	 * @return the values by key
	 */
	Map<String, String> values() {
		return this.current;
	}

	boolean configured() {
		return this.loaded.contains(KeyedStream.OPERATORS) && this.loaded.contains(KeyedStream.INSTANCES);
	}

	void end() {
		this.ended = true;
	}

	void freeze() {
		this.frozen = true;
	}

	void receive(MemberHeartbeat heartbeat) {
		run(() -> {
			if (this.table.receiveHeartbeat(heartbeat, this.time.nanos()) && !this.serves) {
				this.table.receiveReport(heartbeat.servingMembers(), this.time.nanos());
			}
		});
	}

	/**
	 * Returns when this gateway had read or received the newest records of all streams in
	 * an era.
	 * @param era the era
	 * @return the time in milliseconds, empty if it has not
	 */
	OptionalLong eraMillis(long era) {
		boolean all = this.eras.values().stream().filter((seen) -> seen >= era).count() == KeyedStream.values().length;
		return all ? OptionalLong.of(this.lastEraMillis) : OptionalLong.empty();
	}

	private void moved(KeyedStream stream, StreamPosition position, PositionSource source) {
		Long before = this.eras.put(stream, position.era());
		if (before == null || before != position.era()) {
			this.lastEraMillis = this.time.millis();
		}
	}

	private void eraNamed(long era, String from) {
		this.readers.values().forEach((reader) -> reader.handle(new EraNamed(era, from), this.time.nanos()));
	}

	void receive(String host, StreamUpdate update) {
		run(() -> {
			eraNamed(update.next().era(), host);
			handle(update.stream(), new UpdateReceived(host, this.table.readsFor(host, this.serves), update));
			if (!this.loaded.contains(KeyedStream.MEMBERS)) {
				handle(KeyedStream.MEMBERS, new PeerContacted(host));
			}
		});
	}

	private void run(Runnable action) {
		if (this.frozen) {
			this.delayed.add(action);
		}
		else if (!this.ended) {
			action.run();
		}
	}

	private void handle(KeyedStream stream, FollowEvent event) {
		this.readers.get(stream).handle(event, this.time.nanos());
	}

	@Override
	public void requestSnapshot(KeyedStream stream, String host) {
		List<Member> candidates = this.table.find(host).map(List::of).orElseGet(this.table::serving);
		List<Member> receivers = new ArrayList<>(candidates.isEmpty() ? this.table.recipients() : candidates);
		Collections.shuffle(receivers, this.random);
		List<Member> asked = receivers.subList(0, Math.min(3, receivers.size()));
		sendHeartbeat(asked, new MemberHeartbeat(this.self, false, this.serves, 0, List.of(), List.of(), List.of()));
		this.fleet.send(this, asked,
				(gateway) -> gateway.run(() -> gateway.handle(stream, new SnapshotRequested(this.self.host()))));
	}

	@Override
	public void sendSnapshot(String host, StreamUpdate snapshot) {
		this.fleet.send(this, this.table.find(host).stream().toList(),
				(gateway) -> gateway.run(() -> gateway.handle(snapshot.stream(), new SnapshotReceived(snapshot))));
	}

	@Override
	public void sendUpdate(StreamUpdate update) {
		if (this.serves) {
			this.fleet.send(this, this.table.recipients(), SimulatedLinks.bytes(update),
					(gateway) -> gateway.receive(this.self.host(), update));
		}
	}

	/**
	 * Does what a gateway does in each period of heartbeats.
	 */
	private void heartbeatDue() {
		this.time.after(HEARTBEAT_MILLIS, this::heartbeatDue);
		run(() -> {
			this.table.expire(this.time.nanos());
			boolean servedBefore = this.serves;
			this.serves = this.table.updateServing(this.serving, this.time.nanos());
			this.heartbeats++;
			this.plans.updateFleetSize(1 + this.table.recipients().size());
			MemberHeartbeat heartbeat = new MemberHeartbeat(this.self, configured(), this.serves, 1, List.of(),
					List.of(), List.of());
			if (this.serves || servedBefore) {
				sendHeartbeat(this.table.loadRecipients(), heartbeat);
				if (servedBefore != this.serves || this.heartbeats % ServingDecider.SERVER_REPORT_PERIODS == 0) {
					sendHeartbeat(this.table.assignedStandbys(), heartbeat.withServingMembers(this.table.serving()));
				}
			}
			else if (this.heartbeats % ServingDecider.STANDBY_HEARTBEAT_PERIODS == 0) {
				sendHeartbeat(this.table.assignedServers(), heartbeat);
			}
		});
	}

	private void sendHeartbeat(List<Member> receivers, MemberHeartbeat heartbeat) {
		this.fleet.send(this, receivers, (gateway) -> gateway.receive(heartbeat));
	}

	/**
	 * Applies records as the listeners of a gateway do.
	 */
	private final class Listener implements KeyedListener {

		private final KeyedStream stream;

		Listener(KeyedStream stream) {
			this.stream = stream;
		}

		@Override
		public void onRestored(List<KeyedRecord> known) {
			SimulatedGateway.this.records.onRestored(known);
		}

		@Override
		public void onNewest(List<KeyedRecord> records) {
			boolean first = SimulatedGateway.this.loaded.add(this.stream);
			onChanges(records);
			if (first && this.stream == KeyedStream.MEMBERS) {
				announce(records);
			}
			if (this.stream == KeyedStream.MEMBERS) {
				SimulatedGateway.this.records.rewriteLost(records);
			}
		}

		@Override
		public List<KeyedRecord> selectRelevant(List<KeyedRecord> records) {
			if (this.stream != KeyedStream.INSTANCES) {
				return records;
			}
			Set<String> changed = new HashSet<>();
			records.stream()
				.filter((record) -> !text(record).equals(SimulatedGateway.this.current.get(record.key())))
				.forEach((record) -> changed.add(record.key()));
			return records.stream().filter((record) -> changed.contains(record.key())).toList();
		}

		@Override
		public void onChanges(List<KeyedRecord> records) {
			for (KeyedRecord record : records) {
				SimulatedGateway.this.current.put(record.key(), text(record));
				SimulatedGateway.this.appliedMillis.putIfAbsent(text(record), SimulatedGateway.this.time.millis());
				if (this.stream == KeyedStream.MEMBERS) {
					SimulatedGateway.this.table.add(new Member(record.key(), Long.parseLong(text(record)),
							record.key() + ":1", record.key() + ":2", 300), SimulatedGateway.this.time.nanos());
				}
			}
		}

		private void announce(List<KeyedRecord> stored) {
			Member self = SimulatedGateway.this.self;
			boolean announced = stored.stream().anyMatch((record) -> record.key().equals(self.host()));
			if (!announced) {
				SimulatedGateway.this.records.put(self.host(), Payload.of(Long.toString(self.startedMillis())));
			}
			boolean others = stored.stream().anyMatch((record) -> !record.key().equals(self.host()));
			handle(KeyedStream.OPERATORS, new PeersKnown(others && !announced));
			handle(KeyedStream.INSTANCES, new PeersKnown(others && !announced));
		}

		@Override
		public void onReadFailed() {
			// The last state stays.
		}

		private String text(KeyedRecord record) {
			return LargeConfiguration.firstLine(record.value().orElseThrow());
		}

	}

}
