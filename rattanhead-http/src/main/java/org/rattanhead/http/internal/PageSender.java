package org.rattanhead.http.internal;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.rattanhead.http.forward.PageContent;

/**
 * Sends pages.
 */
public final class PageSender {

	private PageSender() {
	}

	/**
	 * Sends a page.
	 * @param exchange the exchange
	 * @param content the page
	 */
	public static void send(HttpServerExchange exchange, PageContent content) {
		exchange.setStatusCode(content.status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, content.contentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(content.body().bytes()));
	}

}
