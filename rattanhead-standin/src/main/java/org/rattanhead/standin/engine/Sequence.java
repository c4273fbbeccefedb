package org.rattanhead.standin.engine;

/**
 * A request in the engine. Owned by one duty.
 */
final class Sequence {

	private final EngineRequest request;

	private final SequenceSink sink;

	private final long arrival;

	private String answerId;

	private boolean truncated;

	private double prefillLeft;

	private double decoded;

	private int emitted;

	Sequence(EngineRequest request, SequenceSink sink, long arrival) {
		this.request = request;
		this.sink = sink;
		this.arrival = arrival;
		this.answerId = request.id();
		this.prefillLeft = request.promptTokens();
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

	long arrival() {
		return this.arrival;
	}

	void answerId(String newAnswerId) {
		this.answerId = newAnswerId;
	}

	void truncate() {
		this.truncated = true;
	}

	boolean prefilling() {
		return this.prefillLeft > 0;
	}

	double prefill(double budget) {
		double taken = Math.min(budget, this.prefillLeft);
		this.prefillLeft -= taken;
		return taken;
	}

	boolean decode(double tokens) {
		this.decoded += tokens;
		int ready = (int) Math.min(this.request.outputTokens(), this.decoded + 1);
		while (this.emitted < ready) {
			this.sink.onToken(this.answerId, this.emitted++);
		}
		if (this.emitted < this.request.outputTokens()) {
			return this.truncated && this.emitted > this.request.outputTokens() / 2;
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
