package org.rattanhead.core.problem;

/**
 * The kinds of failures shown to callers, each with its HTTP status and default remedy.
 */
public enum ProblemKind {

	/** The body is not a JSON object of the form that the API requires. */
	MALFORMED_REQUEST("malformed-request", 400, "Correct the request body and send it again."),

	/** The key is missing or belongs to no workspace. */
	UNAUTHORIZED("unauthorized", 401, "Send 'Authorization: Bearer KEY' with the key of your workspace."),

	/** The path is not served. */
	UNKNOWN_PATH("unknown-path", 404, "Use one of the paths listed in the API page of the documentation."),

	/** The model is not in the catalogue. */
	UNKNOWN_MODEL("unknown-model", 404, "Use a model listed by GET /v1/models."),

	/** The plain service is not in the catalogue. */
	UNKNOWN_SERVICE("unknown-service", 404, "Ask the operators for the name of the service."),

	/** The method is not allowed on this path. */
	METHOD_NOT_ALLOWED("method-not-allowed", 405, "Use the method named in the Allow header."),

	/** The body did not arrive in time. */
	SLOW_REQUEST("slow-request", 408, "Send the whole body within the time that the detail names."),

	/** The idempotency key was used by a request that has no answer yet. */
	DUPLICATE_REQUEST("duplicate-request", 409, "Wait for the first request with this key; do not send it again."),

	/** The idempotency key was used for a different request. */
	KEY_REUSED("key-reused", 422, "Send another request under a key of its own."),

	/** The body is larger than the daemon accepts. */
	BODY_TOO_LARGE("body-too-large", 413, "Shorten the prompt below the limit that the detail names."),

	/**
	 * The prompt exceeds a limit of the model, the workspace or the memory of every
	 * upstream.
	 */
	PROMPT_TOO_LONG("prompt-too-long", 413, "Shorten the prompt below the limit that the detail names."),

	/** The deadline is not a number of milliseconds within the permitted range. */
	INVALID_DEADLINE("invalid-deadline", 400, "Send X-Request-Timeout-Ms within the range that the detail names."),

	/** A request that may not be repeated was sent without a key. */
	MISSING_IDEMPOTENCY_KEY("missing-idempotency-key", 400, "Send an Idempotency-Key header that is unique to it."),

	/** The workspace has reached its limit of requests in flight. */
	WORKSPACE_LIMIT("workspace-limit", 429, "Wait for running requests, or ask the owner to raise the limit."),

	/** All upstreams are too busy to finish the request in time. */
	OVERLOADED("overloaded", 503, "Send the request again after the time in Retry-After."),

	/** No upstream can accept the request now. */
	NO_UPSTREAM("no-upstream", 503, "Send the request again after the time in Retry-After."),

	/** The daemon is shutting down. */
	SHUTTING_DOWN("shutting-down", 503, "Ask GET /v1/addresses for another address and send it there."),

	/** The daemon has no catalogue yet. */
	CATALOGUE_UNAVAILABLE("catalogue-unavailable", 503, "Try another address; operators: check the log service."),

	/** The log service cannot record the claim of a non-repeatable request. */
	CLAIMS_UNAVAILABLE("claims-unavailable", 503, "Send the request again with the same key after Retry-After."),

	/** The upstream failed while it ran the request. */
	UPSTREAM_FAILED("upstream-failed", 502, "Send the request again; it is idempotent."),

	/** The upstream failed and the outcome of a non-repeatable request is unknown. */
	OUTCOME_UNKNOWN("outcome-unknown", 502, "Do not send it again; ask the service what became of it."),

	/** The deadline passed. */
	DEADLINE_EXCEEDED("deadline-exceeded", 504, "Allow more time in X-Request-Timeout-Ms, or send a shorter prompt."),

	/** An internal error of the daemon. */
	INTERNAL("internal", 500, "Report the request id to the operators.");

	private final String slug;

	private final int status;

	private final String remedy;

	ProblemKind(String slug, int status, String remedy) {
		this.slug = slug;
		this.status = status;
		this.remedy = remedy;
	}

	/**
	 * Returns the last part of the type URI.
	 * @return the slug
	 */
	public String slug() {
		return this.slug;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns what the caller should do.
	 * @return the remedy, as a sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Finds a kind by its slug.
	 * @param slug the slug
	 * @return the kind, {@link #INTERNAL} if no kind has that slug
	 */
	public static ProblemKind ofSlug(String slug) {
		for (ProblemKind kind : values()) {
			if (kind.slug.equals(slug)) {
				return kind;
			}
		}
		return INTERNAL;
	}

}
