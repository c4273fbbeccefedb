package org.rattanhead.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * Converts records of instances into events for the forwarding decisions.
 */
final class InstanceRecordListener implements KeyedListener {

	private static final Logger LOGGER = LogManager.getLogger(InstanceRecordListener.class);

	private final EventSink<ForwardEvent> decisions;

	private final GatewayStatus status;

	private final LongSupplier clock;

	private final InstanceRegistry registry = new InstanceRegistry();

	private List<UpstreamInstance> published = List.of();

	InstanceRecordListener(EventSink<ForwardEvent> decisions, GatewayStatus status, LongSupplier clock) {
		this.decisions = decisions;
		this.status = status;
		this.clock = clock;
	}

	@Override
	public void onRestored(List<KeyedRecord> known) {
		this.registry.onStoreRestored(this.clock.getAsLong());
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		this.registry.onStoreRead(this.clock.getAsLong());
		this.registry.replace(records.stream().flatMap((record) -> decode(record).stream()).toList(),
				this.clock.getAsLong());
		publishIfChanged();
		this.status.markInstancesLoaded();
	}

	/**
	 * Leaves out the records of instances that only repeat their entry, which most do in
	 * each heartbeat interval. Of several records of one instance, all are kept unless
	 * none changes anything.
	 */
	@Override
	public List<KeyedRecord> selectRelevant(List<KeyedRecord> records) {
		long nowNanos = this.clock.getAsLong();
		Set<String> changed = new HashSet<>();
		for (KeyedRecord record : records) {
			if (!record.value()
				.flatMap((value) -> InstanceDecoder.decode(record.key(), value))
				.filter((instance) -> this.registry.isCurrent(instance, nowNanos))
				.isPresent()) {
				changed.add(record.key());
			}
		}
		return records.stream().filter((record) -> changed.contains(record.key())).toList();
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		this.registry.onStoreRead(this.clock.getAsLong());
		for (KeyedRecord record : records) {
			if (record.value().isPresent()) {
				decode(record).ifPresent(this.registry::put);
			}
			else {
				this.registry.remove(record.key(), this.clock.getAsLong());
			}
		}
		this.registry.expire(this.clock.getAsLong());
		publishIfChanged();
	}

	@Override
	public void onReadFailed() {
		this.registry.onStoreUnreachable();
	}

	private void publishIfChanged() {
		List<UpstreamInstance> instances = this.registry.instances();
		if (!instances.equals(this.published)) {
			this.published = instances;
			LOGGER.info("platform: {} instances are registered, {} of them leaving", instances.size(),
					instances.stream().filter(UpstreamInstance::draining).count());
			this.decisions.offer(new InstancesChanged(instances), Urgency.COMPLETION);
		}
	}

	private static Optional<UpstreamInstance> decode(KeyedRecord record) {
		Optional<UpstreamInstance> instance = record.value()
			.flatMap((value) -> InstanceDecoder.decode(record.key(), value));
		if (instance.isEmpty()) {
			LOGGER.warn("platform: entry {} does not describe an instance and is ignored", record.key());
		}
		return instance;
	}

}
