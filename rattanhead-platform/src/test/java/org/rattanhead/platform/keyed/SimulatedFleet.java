package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedStream;

/**
 * Gateways and a store in virtual time. Every instance repeats its entry every 1.2 s.
 */
final class SimulatedFleet {

	static final String NEW_CONFIGURATION = "version-2";

	static final String LEAVING = "leaving";

	private static final int INSTANCES = 30;

	private static final long INSTANCE_PERIOD_MILLIS = 1_200;

	/** How far apart the starts of the gateways are. */
	private static final long START_SPACING_MILLIS = 15;

	private static final long LATENCY_MILLIS = 1;

	final VirtualTime time = new VirtualTime();

	final SimulatedStore store = new SimulatedStore(this.time);

	/** Hosts that exchange no messages with other gateways. */
	final Set<String> cutOffHosts = new HashSet<>();

	/** The share of the messages between gateways that are lost. */
	double lostShare;

	private final Map<String, SimulatedGateway> gateways = new HashMap<>();

	private final Map<Integer, String> entries = new HashMap<>();

	private final int count;

	private final long seed;

	private final Random losses;

	/** When each gateway has sent its messages. */
	private final Map<String, Double> sentMillis = new HashMap<>();

	SimulatedFleet(int count, long seed) {
		this.count = count;
		this.seed = seed;
		this.losses = new Random(seed);
		this.store.append(KeyedStream.OPERATORS, "config", "version-1");
		for (int instance = 0; instance < INSTANCES; instance++) {
			this.entries.put(instance, "entry-" + instance);
			int index = instance;
			this.time.after(instance * INSTANCE_PERIOD_MILLIS / INSTANCES, () -> repeatEntry(index));
		}
		this.time.runUntil(INSTANCE_PERIOD_MILLIS);
	}

	private static String host(int index) {
		return "gateway-" + index;
	}

	SimulatedGateway gateway(String host) {
		return this.gateways.get(host);
	}

	/** Lets the store refuse the calls of a third of the gateways. */
	void refuseThird() {
		for (int index = 0; index < (this.count + 2) / 3; index++) {
			this.store.refusedHosts.add(host(index));
		}
	}

	List<SimulatedGateway> gateways() {
		return new ArrayList<>(this.gateways.values());
	}

	/** Starts all gateways; those that run end first. */
	void startAll() {
		this.gateways.values().forEach(SimulatedGateway::end);
		for (int index = 0; index < this.count; index++) {
			int started = index;
			this.time.after(START_SPACING_MILLIS * index, () -> start(started));
		}
	}

	/**
	 * Ends a gateway and starts it again.
	 * @param index its index
	 */
	void restart(int index) {
		this.gateways.get(host(index)).end();
		start(index);
	}

	private void start(int index) {
		this.gateways.put(host(index), new SimulatedGateway(this, this.time, this.store, host(index),
				31 * (this.seed + this.time.millis()) + index));
	}

	void run(long millis) {
		this.time.runUntil(this.time.millis() + millis);
	}

	/** Writes a configuration, and the entry of an instance that leaves. */
	void change() {
		this.store.append(KeyedStream.OPERATORS, "config", NEW_CONFIGURATION);
		this.entries.put(0, LEAVING);
		this.store.append(KeyedStream.INSTANCES, "i-0", LEAVING);
	}

	/**
	 * Writes a configuration.
	 * @param version its version
	 * @param routes the number of its routes
	 */
	void configure(int version, int routes) {
		this.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(version, routes));
	}

	void send(SimulatedGateway sender, List<Member> receivers, Consumer<SimulatedGateway> delivery) {
		send(sender, receivers, 0, delivery);
	}

	/**
	 * Sends a message to several gateways, one after the other on the link of the sender.
	 * @param sender the sender
	 * @param receivers the receivers
	 * @param bytes the size of the message
	 * @param delivery receives each gateway that the message reaches
	 */
	void send(SimulatedGateway sender, List<Member> receivers, long bytes, Consumer<SimulatedGateway> delivery) {
		double freeMillis = Math.max(this.time.millis(), this.sentMillis.getOrDefault(sender.self.host(), 0.0));
		for (Member member : receivers) {
			freeMillis += (this.store.links.linkBytesPerMilli > 0) ? (double) bytes / this.store.links.linkBytesPerMilli
					: 0;
			if (this.lostShare > 0 && this.losses.nextDouble() < this.lostShare) {
				continue;
			}
			long sendMillis = (long) freeMillis - this.time.millis();
			this.time.after(LATENCY_MILLIS + sendMillis, () -> {
				SimulatedGateway receiver = this.gateways.get(member.host());
				if (receiver != null && !this.cutOffHosts.contains(sender.self.host())
						&& !this.cutOffHosts.contains(member.host())) {
					delivery.accept(receiver);
				}
			});
		}
		this.sentMillis.put(sender.self.host(), freeMillis);
	}

	private void repeatEntry(int instance) {
		this.store.append(KeyedStream.INSTANCES, "i-" + instance, this.entries.get(instance));
		this.time.after(INSTANCE_PERIOD_MILLIS, () -> repeatEntry(instance));
	}

}
