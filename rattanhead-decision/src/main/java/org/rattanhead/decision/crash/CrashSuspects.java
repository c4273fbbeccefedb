package org.rattanhead.decision.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.ReportedCrash;

/**
 * Attributes the crashes of instances to requests and to parts that prompts share, and
 * blocks those with which instances crash. A crash breaks all attempts on an instance, so
 * a single crash says little: the one at fault is in one crash after the other, and no
 * instance ever goes on with an answer to it. Daemons exchange what they saw, since
 * different daemons send the requests that have a part in common.
 */
public final class CrashSuspects {

	/** Bounds the size of the datagrams. */
	private static final int MAX_REPORTS = 32;

	private static final int MAX_EXPLAINED_CRASHES = 256;

	/** How long the crashes of a blocked suspect are not attributed to others. */
	private static final long EXPLAINED_RETENTION_NANOS = Millis.toNanos(60_000);

	/** How long a stored block holds after it was read. */
	private static final long STORED_BLOCK_NANOS = Millis.toNanos(60_000);

	/** Stands in the crash behind a stored block, since crashes are not stored. */
	private static final long UNKNOWN_INSTANCE = 0;

	/** A newer answer than this refutes a stored block. */
	private static final long RECENT_ANSWER_NANOS = Millis.toNanos(2_000);

	/**
	 * Orders suspects by how likely they are at fault: those that were never answered,
	 * then those in more crashes, then those that were answered less recently.
	 */
	private static final Comparator<Suspect> LIKELIHOOD = Comparator
		.comparing((Suspect suspect) -> suspect.answeredNanos().isPresent())
		.thenComparing((suspect) -> -suspect.crashes().count())
		.thenComparing((suspect) -> suspect.answeredNanos().orElse(0));

	private final SuspectTable suspects = new SuspectTable();

	/** The crashes that blocked suspects are in; others in them are not at fault. */
	private final CrashLog explained = new CrashLog(MAX_EXPLAINED_CRASHES);

	private final List<SuspectChange> changes = new ArrayList<>();

	private boolean reportDue;

	/**
	 * Records that an attempt broke with its instance before the answer went on.
	 * @param keys the suspects: the request and the parts of its prompt
	 * @param instance identifies the incarnation of the instance
	 * @param nowNanos the time on the monotonic clock
	 */
	public void crashed(List<Long> keys, long instance, long nowNanos) {
		expire(nowNanos);
		InstanceCrash crash = new InstanceCrash(instance, nowNanos);
		for (long key : keys) {
			Suspect suspect = this.suspects.findOrAdd(key, nowNanos);
			suspect.markSeenHere();
			add(suspect, crash, nowNanos);
		}
		blockDangerous(nowNanos);
		this.reportDue = true;
	}

	/**
	 * Records that an instance began an answer, and went on with it.
	 * @param keys the request and the parts of its prompt
	 * @param atNanos when the answer began
	 * @param nowNanos the time on the monotonic clock
	 */
	public void answered(List<Long> keys, long atNanos, long nowNanos) {
		for (long key : keys) {
			this.suspects.answered().add(key, atNanos);
			this.suspects.find(key).ifPresent((suspect) -> answered(suspect, atNanos, nowNanos));
		}
	}

	/**
	 * Adds what another daemon knows.
	 * @param reports its reports
	 * @param nowNanos the time on the monotonic clock
	 */
	public void receive(List<CrashReport> reports, long nowNanos) {
		expire(nowNanos);
		for (CrashReport report : reports) {
			Suspect suspect = this.suspects.findOrAdd(report.suspect(), nowNanos);
			report.answeredAgeMillis().ifPresent((ageMillis) -> {
				long atNanos = nowNanos - Millis.toNanos(ageMillis);
				this.suspects.answered().add(report.suspect(), atNanos);
				answered(suspect, atNanos, nowNanos);
			});
			for (ReportedCrash reported : report.crashes()) {
				add(suspect, new InstanceCrash(reported.instance(), nowNanos - Millis.toNanos(reported.ageMillis())),
						nowNanos);
			}
			if (report.blockedMillis() > 0 && suspect.crashes().count() > 0) {
				blockUntil(suspect, nowNanos + Millis.toNanos(report.blockedMillis()), nowNanos, "reported");
			}
		}
		blockDangerous(nowNanos);
	}

	/**
	 * Blocks suspects that another daemon, or an earlier incarnation, has stored.
	 * @param keys the suspects
	 * @param nowNanos the time on the monotonic clock
	 */
	public void restore(List<Long> keys, long nowNanos) {
		expire(nowNanos);
		for (long key : keys) {
			Suspect suspect = this.suspects.findOrAdd(key, nowNanos);
			boolean refuted = suspect.answeredNanos().isPresent()
					&& suspect.answeredNanos().getAsLong() > nowNanos - RECENT_ANSWER_NANOS;
			if (!refuted && !suspect.blocked(nowNanos)) {
				suspect.addCrash(new InstanceCrash(UNKNOWN_INSTANCE, nowNanos), nowNanos);
				blockUntil(suspect, nowNanos + STORED_BLOCK_NANOS, nowNanos, "stored");
			}
		}
	}

	/**
	 * Finds a suspect that is blocked.
	 * @param keys a request and the parts of its prompt
	 * @param nowNanos the time on the monotonic clock
	 * @return the first one that is blocked
	 */
	public Optional<Long> findBlocked(List<Long> keys, long nowNanos) {
		if (this.suspects.isEmpty()) {
			return Optional.empty();
		}
		return keys.stream().filter((key) -> blocked(key, nowNanos)).findFirst();
	}

	/**
	 * Returns the crashes attributed to any of the suspects.
	 * @param keys a request and the parts of its prompt
	 * @return the highest number
	 */
	public int count(List<Long> keys) {
		int count = 0;
		for (long key : keys) {
			count = Math.max(count, this.suspects.find(key).map((suspect) -> suspect.crashes().count()).orElse(0));
		}
		return count;
	}

	/**
	 * Returns whether an instance is known to have answered a suspect.
	 * @param key the suspect
	 * @return true if one did
	 */
	public boolean everAnswered(long key) {
		return this.suspects.answered().find(key).isPresent();
	}

	/**
	 * Returns what this daemon knows, the most likely suspects first.
	 * @param nowNanos the time on the monotonic clock
	 * @return the reports
	 */
	public List<CrashReport> reports(long nowNanos) {
		expire(nowNanos);
		this.reportDue = false;
		return this.suspects.all()
			.sorted(Comparator.comparing((Suspect suspect) -> !suspect.blocked(nowNanos))
				.thenComparing((suspect) -> -suspect.crashes().count())
				.thenComparing((suspect) -> -suspect.changedNanos()))
			.limit(MAX_REPORTS)
			.map((suspect) -> suspect.report(nowNanos))
			.toList();
	}

	/**
	 * Returns whether others should know of a change before the next heartbeat.
	 * @return true if they should
	 */
	public boolean reportDue() {
		return this.reportDue;
	}

	/**
	 * Removes what is out of date.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void expire(long nowNanos) {
		if (this.suspects.isEmpty()) {
			return;
		}
		for (Suspect suspect : this.suspects.expire(nowNanos)) {
			this.changes.add(new SuspectChange(suspect.key(), false, 0, suspect.seenHere(), "the block has expired"));
		}
		this.explained.removeIf((crash) -> crash.atNanos() < nowNanos - EXPLAINED_RETENTION_NANOS);
	}

	/**
	 * Returns and clears the changes since the last call.
	 * @return the suspects that were blocked, and those whose block ended
	 */
	public List<SuspectChange> takeChanges() {
		if (this.changes.isEmpty()) {
			return List.of();
		}
		List<SuspectChange> taken = List.copyOf(this.changes);
		this.changes.clear();
		return taken;
	}

	private void add(Suspect suspect, InstanceCrash crash, long nowNanos) {
		if (suspect.blocked(nowNanos)) {
			suspect.addCrash(crash, nowNanos);
			explain(crash);
		}
		else if (!this.explained.contains(crash)) {
			suspect.addCrash(crash, nowNanos);
		}
	}

	private void answered(Suspect suspect, long atNanos, long nowNanos) {
		int crashes = suspect.crashes().count();
		if (suspect.addAnswer(atNanos, nowNanos)) {
			this.changes
				.add(new SuspectChange(suspect.key(), false, crashes, suspect.seenHere(), "an instance answered it"));
		}
		this.reportDue |= suspect.crashes().count() < crashes;
	}

	private boolean blocked(long key, long nowNanos) {
		return this.suspects.find(key).filter((suspect) -> suspect.blocked(nowNanos)).isPresent();
	}

	private void blockDangerous(long nowNanos) {
		Optional<Suspect> next = mostLikely(nowNanos);
		while (next.isPresent()) {
			Suspect suspect = next.get();
			suspect.block(nowNanos);
			recordBlock(suspect, "crashes");
			suspect.crashes().all().forEach(this::explain);
			next = mostLikely(nowNanos);
		}
	}

	private Optional<Suspect> mostLikely(long nowNanos) {
		return this.suspects.all()
			.filter((suspect) -> !suspect.blocked(nowNanos) && suspect.dangerous())
			.min(LIKELIHOOD);
	}

	private void blockUntil(Suspect suspect, long untilNanos, long nowNanos, String reason) {
		if (suspect.blockUntil(untilNanos, nowNanos)) {
			recordBlock(suspect, reason);
		}
		suspect.crashes().all().forEach(this::explain);
	}

	private void recordBlock(Suspect suspect, String reason) {
		this.reportDue = true;
		this.changes.add(new SuspectChange(suspect.key(), true, suspect.crashes().count(), suspect.seenHere(), reason));
	}

	private void explain(InstanceCrash crash) {
		if (this.explained.add(crash)) {
			this.suspects.all()
				.filter((suspect) -> !suspect.everBlocked())
				.forEach((suspect) -> suspect.crashes().removeIf(crash::sameAs));
		}
	}

}
