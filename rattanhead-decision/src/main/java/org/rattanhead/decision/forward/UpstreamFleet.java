package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.balance.PeerActivity;
import org.rattanhead.decision.balance.ServiceActivity;
import org.rattanhead.decision.limit.InstanceTurns;
import org.rattanhead.decision.notice.InstanceNotices;

/**
 * The registered instances and the work that all daemons have placed on them.
 */
final class UpstreamFleet {

	/** A longer gap between ticks means that this daemon did not run. */
	private static final long MAX_TICK_GAP_NANOS = Millis.toNanos(250);

	/** Covers the first heartbeats of the other daemons after a start. */
	private static final long SETTLING_NANOS = Millis.toNanos(2_000);

	private final Map<String, InstanceLoad> instances = new TreeMap<>();

	private final WorkKeys keys = new WorkKeys();

	private final InstanceNotices notices = new InstanceNotices();

	private final InstanceTurns turns;

	private final PeerActivity activity;

	private final int evenLoadFrom;

	private Set<String> evacuated = Set.of();

	private int daemons = 1;

	private int fleetDaemons = 1;

	private long lastExpireNanos = Long.MIN_VALUE;

	private long firstUpdateNanos = Long.MAX_VALUE;

	UpstreamFleet() {
		this("", Integer.MAX_VALUE, new Random(1));
	}

	/**
	 * Creates a fleet.
	 * @param self the host of this daemon
	 * @param evenLoadFrom the number of daemons from which load is placed evenly
	 * @param random the seeded random generator
	 */
	UpstreamFleet(String self, int evenLoadFrom, RandomGenerator random) {
		this.turns = new InstanceTurns(random, this::settled);
		this.activity = new PeerActivity(self);
		this.evenLoadFrom = evenLoadFrom;
	}

	void update(List<UpstreamInstance> registered, long nowNanos) {
		this.firstUpdateNanos = Math.min(this.firstUpdateNanos, nowNanos);
		Set<String> ids = new HashSet<>();
		for (UpstreamInstance instance : registered) {
			ids.add(instance.id());
			InstanceLoad current = this.instances.get(instance.id());
			if (current == null || current.instance().incarnation() != instance.incarnation()) {
				this.instances.put(instance.id(), new InstanceLoad(instance, nowNanos));
				this.turns.update(instance, true, nowNanos);
			}
			else if (!current.instance().equals(instance)) {
				current.update(instance);
				this.turns.update(instance, false, nowNanos);
			}
		}
		this.instances.keySet().retainAll(ids);
		this.turns.retain(ids);
	}

	/**
	 * Returns whether this daemon has had time to learn the work that others placed.
	 * @param nowNanos the time on the monotonic clock
	 * @return false shortly after the start
	 */
	boolean settled(long nowNanos) {
		return nowNanos - SETTLING_NANOS >= this.firstUpdateNanos;
	}

	void evacuate(Set<String> domains) {
		this.evacuated = domains;
	}

	void daemons(int newDaemons) {
		this.daemons = Math.max(1, newDaemons);
	}

	void fleetDaemons(int newDaemons) {
		this.fleetDaemons = newDaemons;
	}

	boolean even() {
		return this.fleetDaemons >= this.evenLoadFrom;
	}

	ServiceActivity activity(ServiceLimits service, long nowNanos) {
		return this.activity.of(service.name(), this.daemons, nowNanos);
	}

	PeerActivity activity() {
		return this.activity;
	}

	void lost(String host, long nowNanos) {
		replace(host, List.of(), nowNanos);
		this.activity.lost(host);
	}

	int daemons() {
		return this.daemons;
	}

	InstanceTurns turns() {
		return this.turns;
	}

	List<InstanceLoad> all() {
		return List.copyOf(this.instances.values());
	}

	Optional<InstanceLoad> find(String id) {
		return Optional.ofNullable(this.instances.get(id));
	}

	Optional<InstanceLoad> findByAddress(String address) {
		return this.instances.values().stream().filter((load) -> load.instance().address().equals(address)).findFirst();
	}

	/**
	 * Lists the instances of a service that accept new work. Recently failed instances
	 * are omitted unless there are no others.
	 * @param service the service
	 * @param excluded ids of instances to omit
	 * @param nowNanos the time on the monotonic clock
	 * @return the instances in an order that is the same on all daemons
	 */
	List<InstanceLoad> candidates(ServiceLimits service, Set<String> excluded, long nowNanos) {
		List<InstanceLoad> usable = new ArrayList<>();
		List<InstanceLoad> avoided = new ArrayList<>();
		for (InstanceLoad load : this.instances.values()) {
			if (mayReceive(load, service, excluded, nowNanos)) {
				(load.avoided(nowNanos) ? avoided : usable).add(load);
			}
		}
		List<InstanceLoad> chosen = usable.isEmpty() ? avoided : usable;
		chosen.sort(Comparator.comparing((InstanceLoad load) -> load.instance().id()));
		return chosen;
	}

	/**
	 * Returns whether an instance other than a given one may receive a request, including
	 * recently failed instances.
	 * @param service the service
	 * @param excluded ids of instances to omit
	 * @param current the instance that has the request
	 * @param nowNanos the time on the monotonic clock
	 * @return true if there is one
	 */
	boolean hasOther(ServiceLimits service, Set<String> excluded, InstanceLoad current, long nowNanos) {
		return this.instances.values()
			.stream()
			.anyMatch((load) -> load != current && mayReceive(load, service, excluded, nowNanos));
	}

	private boolean mayReceive(InstanceLoad load, ServiceLimits service, Set<String> excluded, long nowNanos) {
		UpstreamInstance instance = load.instance();
		return instance.service().equals(service.name()) && open(load, nowNanos) && !excluded.contains(instance.id())
				&& this.turns.due(instance, nowNanos);
	}

	/**
	 * Returns whether an instance is registered and accepts new work.
	 * @param load the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it does
	 */
	boolean acceptsWork(InstanceLoad load, long nowNanos) {
		return this.instances.get(load.instance().id()) == load && open(load, nowNanos);
	}

	private boolean open(InstanceLoad load, long nowNanos) {
		return stays(load) && nowNanos >= this.notices.quietUntilNanos(load.instance());
	}

	/**
	 * Returns whether all instances of a plan accept new work.
	 * @param plan the plan
	 * @param nowNanos the time on the monotonic clock
	 * @return true if they do
	 */
	boolean acceptsWork(PlacementPlan plan, long nowNanos) {
		return acceptsWork(plan.primary(), nowNanos)
				&& plan.helpers().stream().allMatch((helper) -> acceptsWork(helper.load(), nowNanos));
	}

	private boolean stays(InstanceLoad load) {
		UpstreamInstance instance = load.instance();
		return !instance.draining() && !this.notices.leaving(instance)
				&& !this.evacuated.contains(instance.failureDomain());
	}

	InstanceNotices notices() {
		return this.notices;
	}

	List<InstanceLoad> staying(ServiceLimits service) {
		return this.instances.values()
			.stream()
			.filter((load) -> load.instance().service().equals(service.name()) && stays(load))
			.toList();
	}

	/**
	 * Lists the registered instances of a service that accept new work, including
	 * recently failed ones.
	 * @param service the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the instances in an order that is the same on all daemons
	 */
	List<InstanceLoad> accepting(ServiceLimits service, long nowNanos) {
		List<InstanceLoad> accepting = new ArrayList<>(this.instances.values());
		accepting.removeIf((load) -> !load.instance().service().equals(service.name()) || !open(load, nowNanos));
		return accepting;
	}

	void place(String host, LoadEntry entry, long nowNanos) {
		InstanceLoad load = this.instances.get(entry.instance());
		if (load != null && this.keys.add(host, entry.key(), entry.instance())) {
			Optional<PlacedLoad> added = load.place(entry, this.activity.isSelf(host),
					even() ? this.activity.entryAgeMillis(host) : 0, nowNanos);
			added.ifPresent((start) -> this.turns.started(load.instance(), nowNanos));
			added.filter(PlacedLoad::isRequest)
				.ifPresent((start) -> this.activity.placed(host, load.instance().service(), nowNanos));
		}
	}

	void remove(String host, String key, long nowNanos) {
		this.keys.remove(host, key).map(this.instances::get).ifPresent((load) -> load.remove(key, nowNanos));
	}

	void replace(String host, List<LoadEntry> entries, long nowNanos) {
		Set<String> reported = new HashSet<>();
		entries.forEach((entry) -> reported.add(entry.key()));
		for (String key : this.keys.of(host)) {
			if (!reported.contains(key)) {
				remove(host, key, nowNanos);
			}
		}
		entries.forEach((entry) -> place(host, entry, nowNanos));
	}

	/**
	 * Removes expired work and finds instances that are overdue.
	 * @param nowNanos the time on the monotonic clock
	 */
	void expire(long nowNanos) {
		long pauseNanos = (this.lastExpireNanos == Long.MIN_VALUE) ? 0 : nowNanos - this.lastExpireNanos;
		this.lastExpireNanos = nowNanos;
		for (InstanceLoad load : this.instances.values()) {
			load.expire(nowNanos);
			if (pauseNanos > MAX_TICK_GAP_NANOS) {
				load.responseTimes().postpone(pauseNanos);
			}
			load.checkOverdue(nowNanos);
		}
	}

}
