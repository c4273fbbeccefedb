package org.rattanhead.decision.edge;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.ServiceEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.TargetKind;

/**
 * The admission rules, in the order in which they are checked.
 */
final class AdmissionRules {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final List<AdmissionRule> RULES = List.of(AdmissionRules::catalogueAvailable,
			AdmissionRules::notShuttingDown, AdmissionRules::authenticated, AdmissionRules::targetRegistered,
			AdmissionRules::deadlineValid, AdmissionRules::promptFits, AdmissionRules::keyPresent,
			AdmissionRules::belowWorkspaceLimit);

	private AdmissionRules() {
	}

	static Optional<Problem> check(AdmissionContext context) {
		return RULES.stream().flatMap((rule) -> rule.check(context).stream()).findFirst();
	}

	private static Optional<Problem> catalogueAvailable(AdmissionContext context) {
		return refuseUnless(context.fleet().view().available(), ProblemKind.CATALOGUE_UNAVAILABLE,
				"This daemon has not read the catalogue yet.", RETRY_AFTER_MILLIS);
	}

	private static Optional<Problem> notShuttingDown(AdmissionContext context) {
		return refuseUnless(!context.shuttingDown(), ProblemKind.SHUTTING_DOWN, "This daemon is shutting down.",
				RETRY_AFTER_MILLIS);
	}

	private static Optional<Problem> authenticated(AdmissionContext context) {
		String digest = context.request().keySha256();
		return refuseUnless(context.fleet().view().workspace(digest).isPresent(), ProblemKind.UNAUTHORIZED,
				digest.isEmpty() ? "The request has no API key." : "No workspace has this API key.", 0);
	}

	private static Optional<Problem> targetRegistered(AdmissionContext context) {
		CallerRequest request = context.request();
		boolean model = request.target().kind() == TargetKind.MODEL;
		EntryKind kind = model ? EntryKind.MODEL : EntryKind.SERVICE;
		boolean registered = context.fleet().view().find(kind, request.target().name(), kind.entryType()).isPresent();
		return refuseUnless(registered, model ? ProblemKind.UNKNOWN_MODEL : ProblemKind.UNKNOWN_SERVICE,
				"There is no " + kind.label() + " '" + request.target().name() + "'.", 0);
	}

	private static Optional<Problem> deadlineValid(AdmissionContext context) {
		ClassEntry entry = context.fleet().view().classOf(workspace(context));
		long requestedMillis = context.request().timeoutMillis();
		return refuseUnless(requestedMillis >= 0 && requestedMillis <= entry.maxDeadlineMillis(),
				ProblemKind.INVALID_DEADLINE,
				"The deadline must be 1 to " + entry.maxDeadlineMillis() + " ms for class '" + entry.name() + "'.", 0);
	}

	private static Optional<Problem> promptFits(AdmissionContext context) {
		CallerRequest request = context.request();
		if (request.target().kind() != TargetKind.MODEL) {
			return Optional.empty();
		}
		ModelEntry model = model(context);
		int limit = Math.min(model.maxPromptTokens(), workspace(context).maxPromptTokens());
		int memory = context.fleet().view().largestMemoryTokens(request.target());
		long needed = (long) request.promptTokens() + Admission.outputTokens(request, model);
		Optional<Problem> tooLong = refuseUnless(request.promptTokens() <= limit, ProblemKind.PROMPT_TOO_LONG,
				"The prompt has about " + request.promptTokens() + " tokens; the limit is " + limit + ".", 0);
		return tooLong.isPresent() ? tooLong : refuseUnless(memory == 0 || needed <= memory,
				ProblemKind.PROMPT_TOO_LONG,
				"Prompt and answer need " + needed + " tokens of memory; the largest engine has " + memory + ".", 0);
	}

	private static Optional<Problem> keyPresent(AdmissionContext context) {
		CallerRequest request = context.request();
		boolean needed = request.target().kind() == TargetKind.SERVICE
				&& !service(context).repeatable(request.call().path());
		return refuseUnless(!needed || !request.idempotencyKey().isEmpty(), ProblemKind.MISSING_IDEMPOTENCY_KEY,
				"Calls to this path may not be repeated and need an Idempotency-Key header.", 0);
	}

	private static Optional<Problem> belowWorkspaceLimit(AdmissionContext context) {
		WorkspaceEntry entry = workspace(context);
		return refuseUnless(context.inFlight().of(entry.name()) < entry.maxConcurrentRequests(),
				ProblemKind.WORKSPACE_LIMIT, "Workspace '" + entry.name() + "' has " + entry.maxConcurrentRequests()
						+ " requests in flight, which is its limit.",
				RETRY_AFTER_MILLIS);
	}

	private static WorkspaceEntry workspace(AdmissionContext context) {
		return context.fleet().view().workspace(context.request().keySha256()).orElseThrow();
	}

	private static ModelEntry model(AdmissionContext context) {
		return context.fleet()
			.view()
			.find(EntryKind.MODEL, context.request().target().name(), ModelEntry.class)
			.orElseThrow();
	}

	private static ServiceEntry service(AdmissionContext context) {
		return context.fleet()
			.view()
			.find(EntryKind.SERVICE, context.request().target().name(), ServiceEntry.class)
			.orElseThrow();
	}

	private static Optional<Problem> refuseUnless(boolean satisfied, ProblemKind kind, String detail,
			long retryAfterMillis) {
		return satisfied ? Optional.empty() : Optional.of(Problem.notRun(kind, detail, retryAfterMillis));
	}

}
