package org.rattanhead.client.internal;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.DefaultByteBufferPool;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.client.CallFailedException;
import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Calls that end while they are being started.
 */
class ExchangeRaceTests {

	/**
	 * Guards against LOST: a call that ends before its timers are set, as after a pause
	 * of the process, and reports no outcome.
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "abort, ABORTED", "connect failure, NOT_SENT", "failure, BROKEN" })
	void reportsEndBeforeTimersAreSet(String end, CallFailure failure) {
		CompletableFuture<HttpReply> future = new CompletableFuture<>();
		AtomicInteger ended = new AtomicInteger();
		Exchange exchange = new Exchange(HttpCall.get(new InetSocketAddress("127.0.0.1", 1), "/", 1_000),
				new CollectingObserver(future, 1_024), new ConnectionPool(), new DefaultByteBufferPool(true, 1_024),
				(call) -> ended.incrementAndGet());
		switch (end) {
			case "abort" -> exchange.abort();
			case "connect failure" -> exchange.connectFailed("refused");
			default -> exchange.fail(CallFailure.BROKEN, "broken");
		}
		assertThat(future).failsWithin(Duration.ZERO)
			.withThrowableOfType(ExecutionException.class)
			.havingCause()
			.isInstanceOfSatisfying(CallFailedException.class,
					(cause) -> assertThat(cause.failure()).isEqualTo(failure));
		assertThat(ended).hasValue(1);
	}

}
