package org.rattanhead.http.internal;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.http.FrontEndObserver;
import org.rattanhead.http.FrontEndPages;

/**
 * Lists the models in the format of the OpenAI API.
 */
public final class ModelsHandler implements HttpHandler {

	private static final JsonMapper MAPPER = new JsonMapper();

	private final FrontEndPages pages;

	private final FrontEndObserver observer;

	/**
	 * Creates the handler.
	 * @param pages supplies the catalogue
	 * @param observer receives refusals
	 */
	public ModelsHandler(FrontEndPages pages, FrontEndObserver observer) {
		this.pages = pages;
		this.observer = observer;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		Catalogue catalogue = this.pages.catalogue().get();
		String keySha256 = RequestFields.keySha256(exchange);
		boolean authorized = catalogue.list(WorkspaceEntry.class)
			.stream()
			.anyMatch((workspace) -> workspace.keySha256().equals(keySha256));
		if (!authorized) {
			this.observer.onRefused(ProblemKind.UNAUTHORIZED);
			ProblemDocuments.send(exchange,
					Problem.notRun(ProblemKind.UNAUTHORIZED, "No workspace has the key of this request."));
			return;
		}
		ObjectNode node = MAPPER.createObjectNode().put("object", "list");
		ArrayNode data = node.putArray("data");
		catalogue.list(ModelEntry.class)
			.forEach((model) -> data.addObject()
				.put("id", model.name())
				.put("object", "model")
				.put("created", 0)
				.put("owned_by", model.owner()));
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(node.toString());
	}

}
