package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.platform.keyed.KeyedListener;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Records of the store that arrive while the ring of the decisions is full.
 */
class FullRingRecordTests {

	private static final String ENTRY = """
			{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"1","Slots":4,"State":"ready",\
			"ColdRemainingMs":0,"Sequence":1,"born":5}""";

	private static final String CONFIGURATION = """
			{"Version":1,"Routes":[],"Services":[],"Tenants":[]}""";

	private final List<String> accepted = new ArrayList<>();

	private final EventSink<ForwardEvent> fullRing = (event, urgency) -> urgency == Urgency.COMPLETION
			&& this.accepted.add(event.getClass().getSimpleName());

	private final GatewayStatus status = new GatewayStatus(new Member("self", 1, "10.0.0.9:80", "10.0.0.9:90", 0));

	/**
	 * Guards against requests that are handled by an old configuration or sent to servers
	 * that were removed, since the change was refused and does not come again.
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "config, ConfigurationApplied", "evacuate, DomainsEvacuated", "instance, InstancesChanged" })
	void recordReachesDecisions(String record, String event) {
		KeyedListener listener = record.equals("instance")
				? new InstanceRecordListener(this.fullRing, this.status, System::nanoTime)
				: new OperatorRecordListener(this.fullRing,
						new ConfigurationPublisher(this.fullRing, this.status)::publish, System::nanoTime);
		List<KeyedRecord> records = switch (record) {
			case "config" -> List.of(new KeyedRecord("config", Optional.of(Payload.of(CONFIGURATION))));
			case "instance" -> List.of(new KeyedRecord("i-0", Optional.of(Payload.of(ENTRY))));
			default -> List.of();
		};
		listener.onNewest(records);
		assertThat(this.accepted).contains(event);
	}

}
