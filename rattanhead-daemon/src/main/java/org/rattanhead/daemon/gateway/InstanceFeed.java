package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.adapter.InstanceDecoder;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.InstancesChanged;
import org.rattanhead.decision.register.InstanceRegistry;
import org.rattanhead.platform.keyed.KeyedListener;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Turns the entries of instances into events for the decisions.
 */
final class InstanceFeed implements KeyedListener {

	private static final Logger LOGGER = LogManager.getLogger(InstanceFeed.class);

	private final EventSink<ForwardEvent> decisions;

	private final GatewayBoard board;

	private final LongSupplier clock;

	private final InstanceRegistry register = new InstanceRegistry();

	private List<UpstreamInstance> told = List.of();

	InstanceFeed(EventSink<ForwardEvent> decisions, GatewayBoard board, LongSupplier clock) {
		this.decisions = decisions;
		this.board = board;
		this.clock = clock;
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		this.register.storeRead(this.clock.getAsLong());
		this.register.replace(records.stream().flatMap((record) -> decode(record).stream()).toList(),
				this.clock.getAsLong());
		tell();
		this.board.instancesKnown();
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		this.register.storeRead(this.clock.getAsLong());
		for (KeyedRecord record : records) {
			if (record.value().isPresent()) {
				decode(record).ifPresent(this.register::put);
			}
			else {
				this.register.remove(record.key(), this.clock.getAsLong());
			}
		}
		this.register.expire(this.clock.getAsLong());
		tell();
	}

	@Override
	public void onReadFailed() {
		this.register.storeUnreachable();
	}

	private void tell() {
		List<UpstreamInstance> instances = this.register.instances();
		if (!instances.equals(this.told)) {
			this.told = instances;
			LOGGER.info("platform: {} instances are registered, {} of them leaving", instances.size(),
					instances.stream().filter(UpstreamInstance::draining).count());
			this.decisions.offer(new InstancesChanged(instances), Urgency.CONTROL);
		}
	}

	private static Optional<UpstreamInstance> decode(KeyedRecord record) {
		Optional<UpstreamInstance> instance = record.value()
			.flatMap((value) -> InstanceDecoder.decode(record.key(), value));
		if (instance.isEmpty()) {
			LOGGER.warn("platform: entry {} names no instance and is left out", record.key());
		}
		return instance;
	}

}
