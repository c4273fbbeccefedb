package org.rattanhead.http.internal;

import java.io.IOException;
import java.util.Set;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;

import org.rattanhead.core.Payload;

/**
 * Parses a body as a stream of JSON tokens, without building a tree. The token count of a
 * prompt is estimated from its length in characters.
 */
final class ChatBodyParser {

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int MAX_STRING_CHARACTERS = 64 * 1024 * 1024;

	private static final JsonFactory JSON = new JsonFactoryBuilder()
		.streamReadConstraints(StreamReadConstraints.builder().maxStringLength(MAX_STRING_CHARACTERS).build())
		.build();

	private static final Set<String> MAX_TOKENS_FIELDS = Set.of("max_tokens", "max_completion_tokens");

	private final JsonParser parser;

	private String model = "";

	private boolean streamed;

	private long promptCharacters;

	private boolean promptFound;

	private int maxOutputTokens;

	private ChatBodyParser(JsonParser parser) {
		this.parser = parser;
	}

	static ChatBody parse(Payload body) throws IOException {
		try (JsonParser parser = JSON.createParser(body.bytes())) {
			return new ChatBodyParser(parser).parseObject();
		}
		catch (JsonProcessingException ex) {
			throw new IOException("The body is not valid JSON: " + ex.getOriginalMessage() + ".", ex);
		}
	}

	private ChatBody parseObject() throws IOException {
		require(this.parser.nextToken() == JsonToken.START_OBJECT, "The body is not a JSON object.");
		while (this.parser.nextToken() == JsonToken.FIELD_NAME) {
			String field = this.parser.currentName();
			this.parser.nextToken();
			readField(field);
		}
		require(this.parser.nextToken() == null, "The body has content after the JSON object.");
		require(!this.model.isEmpty(), "The field 'model' is missing.");
		require(this.promptFound, "The field 'messages' or 'prompt' is missing.");
		long tokens = (this.promptCharacters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
		return new ChatBody(this.model, this.streamed, (int) Math.max(1, tokens), this.maxOutputTokens);
	}

	private void readField(String field) throws IOException {
		if ("model".equals(field)) {
			require(this.parser.currentToken() == JsonToken.VALUE_STRING, "The field 'model' is not text.");
			this.model = this.parser.getText();
		}
		else if ("stream".equals(field)) {
			require(this.parser.currentToken().isBoolean(), "The field 'stream' is neither true nor false.");
			this.streamed = this.parser.getBooleanValue();
		}
		else if (MAX_TOKENS_FIELDS.contains(field)) {
			this.maxOutputTokens = readOutputTokens(field);
		}
		else if ("messages".equals(field) || "prompt".equals(field)) {
			this.promptFound = true;
			countPromptCharacters();
		}
		else {
			this.parser.skipChildren();
		}
	}

	private int readOutputTokens(String field) throws IOException {
		if (this.parser.currentToken() == JsonToken.VALUE_NULL) {
			return 0;
		}
		require(this.parser.currentToken() == JsonToken.VALUE_NUMBER_INT && this.parser.getLongValue() > 0
				&& this.parser.getLongValue() <= Integer.MAX_VALUE,
				"The field '" + field + "' is not a whole number above 0.");
		return this.parser.getIntValue();
	}

	private void countPromptCharacters() throws IOException {
		int depth = 0;
		JsonToken token = this.parser.currentToken();
		while (true) {
			if (token.isStructStart()) {
				depth++;
			}
			else if (token.isStructEnd()) {
				depth--;
			}
			else if (token == JsonToken.VALUE_STRING) {
				this.promptCharacters += this.parser.getTextLength();
			}
			if (depth == 0) {
				return;
			}
			token = this.parser.nextToken();
			require(token != null, "The body ends in the middle of the JSON object.");
		}
	}

	private static void require(boolean satisfied, String message) throws IOException {
		if (!satisfied) {
			throw new IOException(message);
		}
	}

}
