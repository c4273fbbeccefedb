package org.rattanhead.upstream.forward;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.CallInstance;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.ForwardTick;
import org.rattanhead.decision.forward.ReserveTicket;
import org.rattanhead.decision.forward.Ticket;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Outcomes of calls while the ring of the decisions is full.
 */
class FullDecisionsTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r"), 1);

	private static final String LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

	private final CountDownLatch release = new CountDownLatch(1);

	private final List<String> handled = new CopyOnWriteArrayList<>();

	/**
	 * Guards against LOST and MIXED: the head, the end or the failure of an answer that a
	 * full ring refused.
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "whole, AttemptAnswered AttemptContinued AttemptFinished", "empty, AttemptAnswered AttemptFinished",
			"cut, AttemptAnswered AttemptContinued AttemptFailed", "closed, AttemptFailed", "refused, AttemptFailed",
			"ticket, TicketReplied" })
	void outcomeReachesDecisions(String answer, String expected) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
				Duty<ForwardEvent> decisions = new Duty<>("decisions", 4, System::nanoTime,
						(event, now) -> handle(event));
				HttpClient caller = new HttpClient("test", 1);
				ForwardCallDuty calls = new ForwardCallDuty(caller,
						new BlockingCodec(new InetSocketAddress("127.0.0.1", listener.getLocalPort())), decisions)) {
			while (decisions.refused() == 0) {
				decisions.offer(new ForwardTick(), Urgency.CONTROL);
			}
			if (answer.equals("refused")) {
				listener.close();
			}
			else {
				CompletableFuture.runAsync(() -> serve(listener, answer));
			}
			if (answer.equals("ticket")) {
				calls.reserve(new ReserveTicket(new Ticket("t", ATTEMPT, "i", "127.0.0.1:1", 1), 1_000));
			}
			else {
				calls.call(call());
			}
			TimeUnit.MILLISECONDS.sleep(300);
			this.release.countDown();
			awaitHandled(expected.split(" ").length);
		}
		assertThat(String.join(" ", this.handled)).isEqualTo(expected);
	}

	private void awaitHandled(int count) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
		while (this.handled.size() < count && System.nanoTime() < deadlineNanos) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	private void handle(ForwardEvent event) {
		try {
			this.release.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (!(event instanceof ForwardTick)) {
			this.handled.add(event.getClass().getSimpleName());
		}
	}

	private static void serve(ServerSocket listener, String answer) {
		try (Socket socket = listener.accept()) {
			socket.getInputStream().read();
			String bytes = switch (answer) {
				case "whole", "ticket" -> LENGTH + "body";
				case "empty" -> "HTTP/1.1 204 No Content\r\n\r\n";
				case "cut" -> LENGTH + "bo";
				default -> "";
			};
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
			socket.shutdownOutput();
			TimeUnit.MILLISECONDS.sleep(500);
		}
		catch (IOException ex) {
			// The caller closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static CallInstance call() {
		ForwardRequest request = new ForwardRequest(ATTEMPT.request(), "a", "GET", "h", "/", "/", List.of(),
				Payload.EMPTY, OptionalLong.empty(), Optional.empty(), Optional.empty(), OptionalLong.empty(),
				Optional.empty(), 1, List.of());
		UpstreamInstance target = new UpstreamInstance("i", "s", "127.0.0.1:1", "z", 8, false, 0, 1);
		return new CallInstance(
				new ForwardCall(ATTEMPT, request, target, "", 20_000, 5, List.of(), Optional.empty(), false), 400);
	}

}
