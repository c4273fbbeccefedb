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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.AttemptFailed;
import org.rattanhead.decision.forward.CallInstance;
import org.rattanhead.decision.forward.ForwardEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Calls that fail by an exception on this side.
 */
class CallFaultTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r"), 1);

	private static final long TIMEOUT_MILLIS = 3_000;

	/**
	 * Guards against LOST: an attempt without an outcome, whose request waits for its
	 * deadline.
	 */
	@ParameterizedTest(name = "{0} fails")
	@CsvSource({ "encode, NOT_SENT", "send, BROKEN", "decode, BROKEN", "notice, BROKEN" })
	void reportsFailedAttempt(String failing, AttemptFault fault) throws Exception {
		BlockingQueue<ForwardEvent> events = new LinkedBlockingQueue<>();
		try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
				HttpClient caller = new HttpClient("test", 1);
				ForwardCallDuty calls = new ForwardCallDuty(caller,
						new FaultyCodec(failing, new InetSocketAddress("127.0.0.1", listener.getLocalPort())),
						(event, urgency) -> events.add(event))) {
			CompletableFuture.runAsync(() -> serve(listener));
			calls.call(call());
			ForwardEvent event = events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(event).isInstanceOf(AttemptFailed.class);
			assertThat(((AttemptFailed) event).fault()).isEqualTo(fault);
			assertThat(caller.openCalls()).isZero();
		}
	}

	private static void serve(ServerSocket listener) {
		try (Socket socket = listener.accept()) {
			socket.getInputStream().read();
			socket.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".getBytes(StandardCharsets.US_ASCII));
			socket.getInputStream().readAllBytes();
		}
		catch (IOException ex) {
			// The caller closed the connection.
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
