package org.rattanhead.decision.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.rattanhead.core.Millis;

/**
 * Different crashes in the order of their times, the newest up to a limit.
 */
final class CrashLog {

	/** Crashes that are closer together may have one cause, such as a lost host. */
	private static final long MOMENT_NANOS = Millis.toNanos(100);

	private final List<InstanceCrash> crashes = new ArrayList<>();

	private final int limit;

	CrashLog(int limit) {
		this.limit = limit;
	}

	/**
	 * Adds a crash unless it is known.
	 * @param crash the crash
	 * @return true if it is new
	 */
	boolean add(InstanceCrash crash) {
		if (contains(crash)) {
			return false;
		}
		int index = this.crashes.size();
		while (index > 0 && this.crashes.get(index - 1).atNanos() > crash.atNanos()) {
			index--;
		}
		this.crashes.add(index, crash);
		if (this.crashes.size() > this.limit) {
			this.crashes.remove(0);
		}
		return true;
	}

	boolean contains(InstanceCrash crash) {
		return this.crashes.stream().anyMatch(crash::sameAs);
	}

	void removeIf(Predicate<InstanceCrash> condition) {
		this.crashes.removeIf(condition);
	}

	List<InstanceCrash> all() {
		return List.copyOf(this.crashes);
	}

	int count() {
		return this.crashes.size();
	}

	/**
	 * Counts crashes as one if they are close together.
	 * @return the number of moments with crashes
	 */
	int countMoments() {
		int moments = 0;
		long lastNanos = Long.MIN_VALUE;
		for (InstanceCrash crash : this.crashes) {
			if (moments == 0 || crash.atNanos() - lastNanos >= MOMENT_NANOS) {
				moments++;
				lastNanos = crash.atNanos();
			}
		}
		return moments;
	}

}
