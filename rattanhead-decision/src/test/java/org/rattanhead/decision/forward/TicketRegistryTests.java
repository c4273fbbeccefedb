package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.rattanhead.core.Millis;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reserved memory is released regardless of the replies to orders.
 */
class TicketRegistryTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r"), 1);

	private static final Ticket TICKET = new Ticket("r.1-e", ATTEMPT, "e", "10.0.0.1:80", 1_000);

	private final TicketRegistry registry = new TicketRegistry(20_000);

	private final List<ForwardCommand> commands = new ArrayList<>();

	@ParameterizedTest(name = "replied {0} to the release")
	@CsvSource({ "RELEASED, 1", "UNKNOWN, 2", "GRANTED, 3" })
	void repeatsReleaseUntilConfirmed(TicketOutcome outcome, int releases) {
		reserveAndRelease();
		this.registry.replied(new TicketReplied(TICKET, outcome), 0, this.commands);
		this.registry.tick(Millis.toNanos(500), this.commands);
		assertThat(this.commands.stream().filter(ReleaseTicket.class::isInstance)).hasSize(releases);
	}

	@ParameterizedTest(name = "replied {0}")
	@EnumSource(value = TicketOutcome.class, names = { "UNKNOWN", "GRANTED", "REFUSED" })
	void dropsReleaseAfterReservationExpires(TicketOutcome outcome) {
		reserveAndRelease();
		this.registry.replied(new TicketReplied(TICKET, outcome), 0, this.commands);
		for (int tick = 1; tick < 100; tick++) {
			this.registry.tick(Millis.toNanos(tick * 100L), this.commands);
		}
		assertThat(this.registry.empty()).isTrue();
	}

	@ParameterizedTest(name = "replied {0} after the release was confirmed")
	@CsvSource({ "GRANTED, 2", "REFUSED, 1", "RELEASED, 1" })
	void releasesLateGrant(TicketOutcome late, int releases) {
		reserveAndRelease();
		this.registry.replied(new TicketReplied(TICKET, TicketOutcome.RELEASED), 0, this.commands);
		this.registry.replied(new TicketReplied(TICKET, late), 0, this.commands);
		assertThat(this.commands.stream().filter(ReleaseTicket.class::isInstance)).hasSize(releases);
	}

	@ParameterizedTest(name = "{0} ms: {1} orders")
	@CsvSource({ "500, 1", "1100, 2", "2200, 3" })
	void renewsReservationWhileRequestRuns(long millis, int orders) {
		this.registry.reserve(List.of(TICKET), 0, this.commands);
		this.registry.replied(new TicketReplied(TICKET, TicketOutcome.GRANTED), 0, this.commands);
		for (long now = 0; now <= millis; now += 20) {
			this.registry.tick(Millis.toNanos(now), this.commands);
		}
		assertThat(this.commands.stream().filter(ReserveTicket.class::isInstance)).hasSize(orders);
		assertThat(this.registry.allGranted(ATTEMPT)).isTrue();
	}

	private void reserveAndRelease() {
		this.registry.reserve(List.of(TICKET), 0, this.commands);
		this.registry.release(ATTEMPT, 0, this.commands);
	}

}
