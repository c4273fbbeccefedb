package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

/**
 * The requests to a {@link CrashingFleet}, and what became of them.
 */
final class FleetResults {

	private final Map<RequestId, FleetRequest> requests = new HashMap<>();

	private final Set<RequestId> begunAtFirstAttempt = new HashSet<>();

	private final List<Long> crashMillis = new ArrayList<>();

	private final List<Long> fatalCallMillis = new ArrayList<>();

	void submitted(RequestId id, FleetRequest request) {
		this.requests.put(id, request);
	}

	FleetRequest find(AttemptId attempt) {
		return this.requests.get(attempt.request());
	}

	int submittedCount() {
		return this.requests.size();
	}

	void called(AttemptId attempt, long nowMillis) {
		if (find(attempt).fatal()) {
			this.fatalCallMillis.add(nowMillis);
		}
	}

	void begun(AttemptId attempt) {
		if (attempt.number() == 1) {
			this.begunAtFirstAttempt.add(attempt.request());
		}
	}

	void crashed(long nowMillis) {
		this.crashMillis.add(nowMillis);
	}

	/**
	 * Returns when an engine crashed.
	 * @param number the number of the crash, from 1
	 * @return the time in milliseconds, empty if there were fewer
	 */
	OptionalLong crashMillis(int number) {
		return (this.crashMillis.size() < number) ? OptionalLong.empty()
				: OptionalLong.of(this.crashMillis.get(number - 1));
	}

	/**
	 * Counts the prompts with the fatal part that reached an engine.
	 * @param afterMillis the time after which they count, in milliseconds
	 * @return the number
	 */
	long fatalCalls(long afterMillis) {
		return this.fatalCallMillis.stream().filter((at) -> at > afterMillis).count();
	}

	/**
	 * Returns how many of the prompts without the fatal part an engine began to answer at
	 * the first attempt.
	 * @param fromMillis the start of the time in which they arrived, in milliseconds
	 * @param toMillis the end of that time, in milliseconds
	 * @return the share, 1 if there were none
	 */
	double begunShare(long fromMillis, long toMillis) {
		List<RequestId> sound = this.requests.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().fatal() && entry.getValue().atMillis() >= fromMillis
					&& entry.getValue().atMillis() < toMillis)
			.map(Map.Entry::getKey)
			.toList();
		return sound.isEmpty() ? 1
				: sound.stream().filter(this.begunAtFirstAttempt::contains).count() / (double) sound.size();
	}

}
