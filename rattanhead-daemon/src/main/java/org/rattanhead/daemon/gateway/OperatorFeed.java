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
 * Turns what the operators write into events for the decisions.
 */
final class OperatorFeed implements KeyedListener {

	private static final Logger LOGGER = LogManager.getLogger(OperatorFeed.class);

	private final EventSink<ForwardEvent> decisions;

	private final GatewayBoard board;

	private final Set<String> evacuated = new HashSet<>();

	OperatorFeed(EventSink<ForwardEvent> decisions, GatewayBoard board) {
		this.decisions = decisions;
		this.board = board;
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		this.evacuated.clear();
		apply(records);
		tellEvacuated();
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		if (apply(records)) {
			tellEvacuated();
		}
	}

	@Override
	public void onReadFailed() {
		// What is in force stays in force.
	}

	private boolean apply(List<KeyedRecord> records) {
		boolean domainsChanged = false;
		for (KeyedRecord record : records) {
			if (OperatorRecords.isConfiguration(record)) {
				record.value().ifPresent((value) -> configure(record));
			}
			domainsChanged |= OperatorRecords.evacuatedDomain(record)
				.map((domain) -> record.value().isPresent() ? this.evacuated.add(domain)
						: this.evacuated.remove(domain))
				.orElse(false);
		}
		return domainsChanged;
	}

	private void configure(KeyedRecord record) {
		try {
			Configuration configuration = ConfigurationDecoder.decode(record.value().orElseThrow());
			this.decisions.offer(new ConfigurationApplied(configuration), Urgency.CONTROL);
			this.board.configured();
		}
		catch (RemedyException ex) {
			LOGGER.error("platform: {}", ex.getMessage());
		}
	}

	private void tellEvacuated() {
		LOGGER.info("platform: failure domains taken out: {}", this.evacuated);
		this.decisions.offer(new DomainsEvacuated(Set.copyOf(this.evacuated)), Urgency.CONTROL);
	}

}
