package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.adapter.OperatorRecords;
import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.decision.forward.DomainsEvacuated;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.register.EvacuatedDomains;
import org.rattanhead.platform.keyed.KeyedListener;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Converts records written by operators into events for the forwarding decisions, and
 * passes configurations on to be decoded.
 */
final class OperatorRecordListener implements KeyedListener {

	private static final Logger LOGGER = LogManager.getLogger(OperatorRecordListener.class);

	private final EventSink<ForwardEvent> decisions;

	private final Consumer<Payload> configurations;

	private final LongSupplier clock;

	private final EvacuatedDomains evacuated = new EvacuatedDomains();

	private Optional<Set<String>> published = Optional.empty();

	/**
	 * Creates a listener.
	 * @param decisions receives the failure domains that are taken out
	 * @param configurations receives the values of configurations
	 * @param clock the monotonic clock, in nanoseconds
	 */
	OperatorRecordListener(EventSink<ForwardEvent> decisions, Consumer<Payload> configurations, LongSupplier clock) {
		this.decisions = decisions;
		this.configurations = configurations;
		this.clock = clock;
	}

	@Override
	public void onRestored(List<KeyedRecord> known) {
		this.evacuated.onStoreRestored(this.clock.getAsLong());
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		this.evacuated.clear();
		onChanges(records);
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		records.forEach(this::apply);
		this.evacuated.expire(this.clock.getAsLong());
		publishIfChanged();
	}

	@Override
	public void onReadFailed() {
		// The current configuration and evacuations stay in force.
	}

	private void apply(KeyedRecord record) {
		if (OperatorRecords.isConfiguration(record)) {
			record.value().ifPresent(this.configurations);
		}
		OperatorRecords.evacuatedDomain(record).ifPresent((domain) -> {
			if (record.value().isPresent()) {
				this.evacuated.add(domain);
			}
			else {
				this.evacuated.remove(domain);
			}
		});
	}

	private void publishIfChanged() {
		Set<String> domains = this.evacuated.domains();
		if (!this.published.equals(Optional.of(domains))) {
			this.published = Optional.of(domains);
			LOGGER.info("platform: failure domains taken out: {}", domains);
			this.decisions.offer(new DomainsEvacuated(domains), Urgency.COMPLETION);
		}
	}

}
