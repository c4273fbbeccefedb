package org.rattanhead.client.internal;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.rattanhead.client.HttpCall;
import org.rattanhead.core.HttpField;

/**
 * Encodes calls for the HTTP library.
 */
final class RequestEncoder {

	private RequestEncoder() {
	}

	static ClientRequest encode(HttpCall call) {
		ClientRequest request = new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
		request.getRequestHeaders().put(Headers.HOST, call.address().getHostString() + ":" + call.address().getPort());
		for (HttpField field : call.fields()) {
			HttpString name = new HttpString(field.name());
			if (Headers.HOST.equals(name)) {
				request.getRequestHeaders().put(name, field.value());
			}
			else {
				request.getRequestHeaders().add(name, field.value());
			}
		}
		if (call.body().length() > 0 || call.method().equals("POST")) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length());
		}
		return request;
	}

}
