package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.request.AttemptId;

/**
 * An engine on a virtual clock that admits short prompts by urgency, reads one after the
 * other, and writes their answers at the same time. Its memory is unbounded.
 */
final class SimulatedEngine {

	private static final long EVENT_MILLIS = 100;

	private final EngineModel model;

	private final List<Job> waiting = new ArrayList<>();

	private final Map<AttemptId, Job> running = new HashMap<>();

	private double readUntilMillis;

	SimulatedEngine(EngineModel model) {
		this.model = model;
	}

	void call(ForwardCall call, double answerMillis) {
		double readMillis = this.model.readMillis(call.request().tokens().orElseThrow().promptTokens());
		this.waiting.add(new Job(call.attempt(), call.urgency(), readMillis, answerMillis));
		this.waiting.sort(Comparator.comparingInt((job) -> job.urgency));
	}

	void abort(AttemptId attempt) {
		this.waiting.removeIf((job) -> job.attempt.equals(attempt));
		this.running.remove(attempt);
	}

	/**
	 * Admits prompts and reports what is due to a rig.
	 * @param nowMillis the time
	 * @param rig receives the answers
	 */
	void advance(long nowMillis, ForwardRig rig) {
		for (Job job : List.copyOf(this.running.values())) {
			if (job.events == 0 && job.firstTokenMillis <= nowMillis) {
				job.events = 1;
				rig.startAnswer(job.attempt);
			}
			else if (job.firstTokenMillis + job.events * EVENT_MILLIS <= nowMillis) {
				job.events++;
				rig.bytes(job.attempt, "id: " + job.events + "\ndata: a\n\n");
			}
			if (job.firstTokenMillis + job.answerMillis <= nowMillis) {
				this.running.remove(job.attempt);
				rig.finish(job.attempt);
			}
		}
		while (!this.waiting.isEmpty() && this.running.size() < this.model.slots()) {
			Job job = this.waiting.remove(0);
			this.readUntilMillis = Math.max(this.readUntilMillis, nowMillis) + job.readMillis;
			job.firstTokenMillis = this.readUntilMillis + this.model.passMillis();
			this.running.put(job.attempt, job);
		}
	}

	private static final class Job {

		private final AttemptId attempt;

		private final int urgency;

		private final double readMillis;

		private final double answerMillis;

		private double firstTokenMillis;

		private int events;

		Job(AttemptId attempt, int urgency, double readMillis, double answerMillis) {
			this.attempt = attempt;
			this.urgency = urgency;
			this.readMillis = readMillis;
			this.answerMillis = answerMillis;
		}

	}

}
