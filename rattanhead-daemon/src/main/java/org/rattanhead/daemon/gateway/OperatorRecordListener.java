package org.rattanhead.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.adapter.ConfigurationDecoder;
import org.rattanhead.adapter.OperatorRecords;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.decision.forward.ConfigurationApplied;
import org.rattanhead.decision.forward.DomainsEvacuated;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.platform.keyed.KeyedListener;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Converts records written by operators into events for the forwarding decisions.
 */
final class OperatorRecordListener implements KeyedListener {

	private static final Logger LOGGER = LogManager.getLogger(OperatorRecordListener.class);

	private final EventSink<ForwardEvent> decisions;

	private final GatewayStatus status;

	private final Set<String> evacuated = new HashSet<>();

	OperatorRecordListener(EventSink<ForwardEvent> decisions, GatewayStatus status) {
		this.decisions = decisions;
		this.status = status;
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		this.evacuated.clear();
		apply(records);
		publishEvacuated();
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		if (apply(records)) {
			publishEvacuated();
		}
	}

	@Override
	public void onReadFailed() {
		// The current configuration and evacuations stay in force.
	}

	private boolean apply(List<KeyedRecord> records) {
		boolean domainsChanged = false;
		for (KeyedRecord record : records) {
			if (OperatorRecords.isConfiguration(record)) {
				record.value().ifPresent((value) -> applyConfiguration(record));
			}
			domainsChanged |= OperatorRecords.evacuatedDomain(record)
				.map((domain) -> record.value().isPresent() ? this.evacuated.add(domain)
						: this.evacuated.remove(domain))
				.orElse(false);
		}
		return domainsChanged;
	}

	private void applyConfiguration(KeyedRecord record) {
		try {
			Configuration configuration = ConfigurationDecoder.decode(record.value().orElseThrow());
			this.decisions.offer(new ConfigurationApplied(configuration), Urgency.COMPLETION);
			this.status.markConfigured();
		}
		catch (RemedyException ex) {
			LOGGER.error("platform: {}", ex.getMessage());
		}
	}

	private void publishEvacuated() {
		LOGGER.info("platform: failure domains taken out: {}", this.evacuated);
		this.decisions.offer(new DomainsEvacuated(Set.copyOf(this.evacuated)), Urgency.COMPLETION);
	}

}
