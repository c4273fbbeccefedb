package org.rattanhead.standin.engine;

/**
 * A running or queued request. Not thread-safe; only the duty of the engine uses it.
 */
final class Sequence {

	private final EngineRequest request;

	private final SequenceSink sink;

	private final long arrivalNumber;

	private String answerId;

	private boolean truncated;

	private double remainingPrefillTokens;

	private double decodedTokens;

	private int emittedTokens;

	Sequence(EngineRequest request, SequenceSink sink, long arrivalNumber) {
		this.request = request;
		this.sink = sink;
		this.arrivalNumber = arrivalNumber;
		this.answerId = request.id();
		this.remainingPrefillTokens = request.promptTokens();
	}

	EngineRequest request() {
		return this.request;
	}

	SequenceSink sink() {
		return this.sink;
	}

	int priority() {
		return this.request.priority();
	}

	long arrivalNumber() {
		return this.arrivalNumber;
	}

	void answerId(String newAnswerId) {
		this.answerId = newAnswerId;
	}

	void truncate() {
		this.truncated = true;
	}

	boolean prefilling() {
		return this.remainingPrefillTokens > 0;
	}

	double prefill(double budget) {
		double processed = Math.min(budget, this.remainingPrefillTokens);
		this.remainingPrefillTokens -= processed;
		return processed;
	}

	boolean decode(double tokens) {
		this.decodedTokens += tokens;
		int availableTokens = (int) Math.min(this.request.outputTokens(), this.decodedTokens + 1);
		while (this.emittedTokens < availableTokens) {
			this.sink.onToken(this.answerId, this.emittedTokens++);
		}
		if (this.emittedTokens < this.request.outputTokens()) {
			return this.truncated && this.emittedTokens > this.request.outputTokens() / 2;
		}
		return true;
	}

	void finish() {
		if (this.truncated) {
			this.sink.onReset();
		}
		else {
			this.sink.onEnd(this.answerId);
		}
	}

}
