package org.rattanhead.decision.edge;

import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.Work;
import org.rattanhead.decision.CatalogueView;

/**
 * Creates the work of an admitted request.
 */
final class Admission {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int DEFAULT_OUTPUT_TOKENS = 256;

	private Admission() {
	}

	static Work admit(CallerRequest request, CatalogueView view, long nowNanos) {
		WorkspaceEntry workspace = view.workspace(request.keySha256()).orElseThrow();
		ClassEntry entry = view.classOf(workspace);
		long timeoutMillis = (request.timeoutMillis() > 0) ? request.timeoutMillis() : entry.deadlineMillis();
		return new Work(new AttemptId(request.id(), 1), workspace.name(), request.target(), request.call(),
				entry.priority(), request.promptTokens(), outputTokens(request, view),
				nowNanos + timeoutMillis * NANOS_PER_MILLI, request.idempotencyKey());
	}

	static int outputTokens(CallerRequest request, ModelEntry model) {
		int requestedTokens = (request.maxOutputTokens() > 0) ? request.maxOutputTokens() : DEFAULT_OUTPUT_TOKENS;
		return Math.min(requestedTokens, model.maxOutputTokens());
	}

	private static int outputTokens(CallerRequest request, CatalogueView view) {
		if (request.target().kind() != TargetKind.MODEL) {
			return 0;
		}
		return view.find(EntryKind.MODEL, request.target().name(), ModelEntry.class)
			.map((model) -> outputTokens(request, model))
			.orElse(0);
	}

}
