package org.rattanhead.upstream.forward;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.ReserveTicket;
import org.rattanhead.decision.forward.Ticket;
import org.rattanhead.decision.forward.TicketOutcome;
import org.rattanhead.decision.forward.TicketReplied;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replies of instances to reservation orders.
 */
class ReservationReplyTests {

	/**
	 * Guards against LOST: large replies to the orders of many prompts, collected at the
	 * same time, filled the memory.
	 */
	@ParameterizedTest(name = "{0} bytes: {1}")
	@CsvSource({ "0, GRANTED", "1000, GRANTED", "65536, GRANTED", "65537, UNKNOWN", "1000000, UNKNOWN",
			"8000000, UNKNOWN" })
	void collectsShortRepliesOnly(int bodyBytes, TicketOutcome expected) throws Exception {
		BlockingQueue<ForwardEvent> events = new LinkedBlockingQueue<>();
		try (LargeAnswerServer server = new LargeAnswerServer(bodyBytes);
				HttpClient caller = new HttpClient("test", 1);
				ForwardCallDuty duty = new ForwardCallDuty(caller, new BlockingCodec(server.address()),
						(event, urgency) -> events.add(event))) {
			Ticket ticket = new Ticket("t", new AttemptId(new RequestId("r"), 1), "i", "127.0.0.1:1", 1);
			duty.reserve(new ReserveTicket(ticket, 1_000));
			assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo(new TicketReplied(ticket, expected));
		}
	}

}
