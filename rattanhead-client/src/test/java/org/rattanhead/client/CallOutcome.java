package org.rattanhead.client;

import java.util.concurrent.TimeUnit;

/**
 * How a call ended, as text: status and body of the reply, or the failure.
 */
final class CallOutcome {

	private CallOutcome() {
	}

	static String of(HttpClient client, HttpCall call) throws Exception {
		return client.call(call)
			.handle((reply, failure) -> (reply != null) ? reply.status() + " " + reply.body().text()
					: ((CallFailedException) failure).failure().name())
			.get(call.timeoutMillis() * 2, TimeUnit.MILLISECONDS);
	}

}
