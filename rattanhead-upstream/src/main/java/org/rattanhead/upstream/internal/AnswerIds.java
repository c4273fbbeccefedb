package org.rattanhead.upstream.internal;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.AttemptId;

/**
 * Checks that the id of an answer matches its attempt. Engines append the request id that
 * they received to the id of the answer.
 */
final class AnswerIds {

	private static final JsonFactory JSON = new JsonFactory();

	private AnswerIds() {
	}

	static void check(Payload json, AttemptId attempt) throws InvalidAnswerException {
		String id = id(json);
		if (!id.endsWith("-" + attempt)) {
			throw new InvalidAnswerException("the answer has id '" + id + "', which does not match attempt " + attempt,
					true);
		}
	}

	private static String id(Payload json) throws InvalidAnswerException {
		try (JsonParser parser = JSON.createParser(json.bytes())) {
			parser.nextToken();
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				boolean id = "id".equals(parser.currentName());
				parser.nextToken();
				if (id) {
					return parser.getText();
				}
				parser.skipChildren();
			}
		}
		catch (IOException ex) {
			throw new InvalidAnswerException("the answer is not JSON", ex);
		}
		throw new InvalidAnswerException("the answer has no id", false);
	}

}
