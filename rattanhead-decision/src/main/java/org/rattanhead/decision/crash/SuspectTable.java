package org.rattanhead.decision.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.rattanhead.core.Millis;

/**
 * The suspects with recent crashes, and what was recently answered.
 */
final class SuspectTable {

	/** Bounds the memory and the search for those at fault. */
	private static final int MAX_SUSPECTS = 512;

	/**
	 * How long a suspect is kept after its last change; longer than callers retry.
	 */
	private static final long RETENTION_NANOS = Millis.toNanos(60_000);

	/** How long a suspect that was answered is still reported, so that others know. */
	private static final long ANSWERED_RETENTION_NANOS = Millis.toNanos(5_000);

	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	private final AnsweredKeys answered = new AnsweredKeys();

	/**
	 * Finds a suspect, or adds it. If there are too many, the oldest one that is not
	 * blocked is dropped.
	 * @param key the key of the suspect
	 * @param nowNanos the time on the monotonic clock
	 * @return the suspect
	 */
	Suspect findOrAdd(long key, long nowNanos) {
		Suspect suspect = this.suspects.computeIfAbsent(key,
				(missing) -> new Suspect(missing, this.answered.find(missing), nowNanos));
		if (this.suspects.size() > MAX_SUSPECTS) {
			all().filter((other) -> other != suspect && !other.blocked(nowNanos))
				.findFirst()
				.ifPresent((other) -> this.suspects.remove(other.key()));
		}
		return suspect;
	}

	Optional<Suspect> find(long key) {
		return Optional.ofNullable(this.suspects.get(key));
	}

	Stream<Suspect> all() {
		return this.suspects.values().stream();
	}

	boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	AnsweredKeys answered() {
		return this.answered;
	}

	/**
	 * Removes the suspects that are out of date.
	 * @param nowNanos the time on the monotonic clock
	 * @return the suspects whose block has ended
	 */
	List<Suspect> expire(long nowNanos) {
		List<Suspect> unblocked = new ArrayList<>();
		all().filter((suspect) -> suspect.expireBlock(nowNanos)).forEach(unblocked::add);
		Predicate<Suspect> outdated = (suspect) -> outdated(suspect, nowNanos);
		this.suspects.values().removeIf(outdated);
		return unblocked;
	}

	private static boolean outdated(Suspect suspect, long nowNanos) {
		boolean answered = suspect.crashes().count() == 0 && suspect.answeredNanos().isPresent();
		long retentionNanos = answered ? ANSWERED_RETENTION_NANOS : RETENTION_NANOS;
		return !suspect.blocked(nowNanos) && suspect.changedNanos() < nowNanos - retentionNanos;
	}

}
