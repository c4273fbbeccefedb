package org.rattanhead.proof;

import java.util.stream.Collectors;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.standin.AnswerText;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The OpenAI client library works with a base URL and an API key as its only settings.
 */
class OpenAiClientTests {

	private static LocalCluster cluster;

	private static OpenAIClient client;

	@BeforeAll
	static void start() {
		cluster = TestClusters.start();
		client = OpenAIOkHttpClient.builder()
			.baseUrl("http://" + cluster.hosts().get(0).callerAddress() + "/v1")
			.apiKey(TestClusters.KEY)
			.build();
	}

	@AfterAll
	static void stop() throws Exception {
		client.close();
		cluster.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "hello", "Quantas plumas pretas para o cortejo?" })
	void completesAChat(String prompt) {
		String answer = client.chat()
			.completions()
			.create(params(prompt))
			.choices()
			.get(0)
			.message()
			.content()
			.orElseThrow();
		assertThat(answer).isEqualTo(AnswerText.expected(prompt, 12));
	}

	@ParameterizedTest
	@ValueSource(strings = { "hello", "Quantas plumas pretas para o cortejo?" })
	void streamsAChat(String prompt) {
		try (StreamResponse<ChatCompletionChunk> stream = client.chat().completions().createStreaming(params(prompt))) {
			String answer = stream.stream()
				.flatMap((chunk) -> chunk.choices().stream())
				.map((choice) -> choice.delta().content().orElse(""))
				.collect(Collectors.joining());
			assertThat(answer).isEqualTo(AnswerText.expected(prompt, 12));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "plume-draft" })
	void listsModels(String model) {
		assertThat(client.models().list().data()).extracting((listed) -> listed.id()).containsExactly(model);
	}

	private static ChatCompletionCreateParams params(String prompt) {
		return ChatCompletionCreateParams.builder()
			.model(TestClusters.MODEL)
			.maxCompletionTokens(12)
			.addUserMessage(prompt)
			.build();
	}

}
