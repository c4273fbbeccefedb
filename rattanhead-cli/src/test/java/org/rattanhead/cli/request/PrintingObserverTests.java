package org.rattanhead.cli.request;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.cli.ExitCode;
import org.rattanhead.client.HttpHead;
import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PrintingObserver}.
 */
class PrintingObserverTests {

	/** Guards against a part of an answer that is reported as a success. */
	@ParameterizedTest(name = "status {0}, {1}")
	@CsvSource(delimiter = '|',
			value = { "200 | data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}~~data: [DONE]~~ | OK | ''",
					"200 | data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}~~ | FAILED | incomplete",
					"200 | '' | FAILED | incomplete",
					"200 | data: {\"error\":{},\"detail\":\"broke\"}~~ | FAILED | broke",
					"502 | {\"detail\":\"broke\"} | FAILED | broke" })
	void reportsSuccessForCompleteAnswers(int status, String body, ExitCode exitCode, String message) {
		ByteArrayOutputStream errors = new ByteArrayOutputStream();
		CompletableFuture<ExitCode> done = new CompletableFuture<>();
		PrintingObserver observer = new PrintingObserver(new PrintStream(new ByteArrayOutputStream()),
				new PrintStream(errors), done);
		observer.onHead(new HttpHead(status, List.of()));
		observer.onBytes(Payload.of(body.replace('~', '\n')));
		observer.onEnd();
		assertThat(done).isCompletedWithValue(exitCode);
		assertThat(errors.toString(StandardCharsets.UTF_8)).contains(message);
	}

}
