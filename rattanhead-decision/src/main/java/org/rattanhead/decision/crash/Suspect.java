package org.rattanhead.decision.crash;

import java.util.List;
import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.ReportedCrash;

/**
 * The crashes attributed to a request or to a part of prompts since an instance last
 * answered it, and how long it is blocked for them.
 */
final class Suspect {

	/** The platform requires blocking from the third crash on. */
	private static final int BLOCKING_CRASHES = 3;

	/** The crashes that block a suspect again, once it has been blocked. */
	private static final int REPEATED_BLOCKING_CRASHES = 1;

	private static final long BLOCK_NANOS = Millis.toNanos(60_000);

	private static final int MAX_DOUBLINGS = 6;

	private static final int MAX_CRASHES = 5;

	private final long key;

	private final CrashLog crashes = new CrashLog(MAX_CRASHES);

	private OptionalLong answeredNanos;

	private OptionalLong blockedUntilNanos = OptionalLong.empty();

	private int blocks;

	private boolean seenHere;

	private long changedNanos;

	Suspect(long key, OptionalLong answeredNanos, long nowNanos) {
		this.key = key;
		this.answeredNanos = answeredNanos;
		this.changedNanos = nowNanos;
	}

	long key() {
		return this.key;
	}

	CrashLog crashes() {
		return this.crashes;
	}

	OptionalLong answeredNanos() {
		return this.answeredNanos;
	}

	long changedNanos() {
		return this.changedNanos;
	}

	/**
	 * Returns whether an attempt of this daemon was broken by one of the crashes.
	 * @return true if one was
	 */
	boolean seenHere() {
		return this.seenHere;
	}

	void markSeenHere() {
		this.seenHere = true;
	}

	/**
	 * Adds a crash, unless an instance has answered since.
	 * @param crash the crash
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it is new
	 */
	boolean addCrash(InstanceCrash crash, long nowNanos) {
		if (answeredSince(crash.atNanos()) || !this.crashes.add(crash)) {
			return false;
		}
		this.changedNanos = nowNanos;
		if (blocked(nowNanos)) {
			extendBlock(crash.atNanos() + blockNanos());
		}
		return true;
	}

	/**
	 * Records that an instance began an answer that went on. Earlier crashes had another
	 * cause.
	 * @param atNanos when the answer began
	 * @param nowNanos the time on the monotonic clock
	 * @return true if this ended a block
	 */
	boolean addAnswer(long atNanos, long nowNanos) {
		if (answeredSince(atNanos)) {
			return false;
		}
		int before = this.crashes.count();
		this.answeredNanos = OptionalLong.of(atNanos);
		this.crashes.removeIf((crash) -> crash.atNanos() <= atNanos);
		this.changedNanos = (this.crashes.count() < before) ? nowNanos : this.changedNanos;
		if (this.crashes.count() > 0) {
			return false;
		}
		boolean wasBlocked = blocked(nowNanos);
		this.blockedUntilNanos = OptionalLong.empty();
		this.blocks = 0;
		return wasBlocked;
	}

	boolean blocked(long nowNanos) {
		return this.blockedUntilNanos.isPresent() && nowNanos < this.blockedUntilNanos.getAsLong();
	}

	/**
	 * Returns whether it is blocked, or was until its block expired.
	 * @return true if it is
	 */
	boolean everBlocked() {
		return this.blocks > 0;
	}

	long blockedMillis(long nowNanos) {
		return blocked(nowNanos) ? Millis.ofNanos(this.blockedUntilNanos.getAsLong() - nowNanos) : 0;
	}

	/**
	 * Returns whether the crashes are enough to block it. If instances answered it
	 * before, simultaneous crashes count as one: the loss of a host breaks many of its
	 * attempts at once.
	 * @return true if they are
	 */
	boolean dangerous() {
		if (this.blocks > 0) {
			return this.crashes.count() >= REPEATED_BLOCKING_CRASHES;
		}
		int counted = this.answeredNanos.isPresent() ? this.crashes.countMoments() : this.crashes.count();
		return counted >= BLOCKING_CRASHES;
	}

	/**
	 * Blocks it; each further time for twice as long.
	 * @param nowNanos the time on the monotonic clock
	 */
	void block(long nowNanos) {
		this.blocks++;
		this.changedNanos = nowNanos;
		extendBlock(nowNanos + blockNanos());
	}

	/**
	 * Blocks it as long as another daemon does.
	 * @param untilNanos the end of the block
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it was not blocked
	 */
	boolean blockUntil(long untilNanos, long nowNanos) {
		boolean blockedBefore = blocked(nowNanos);
		this.blocks = Math.max(1, this.blocks);
		this.changedNanos = blockedBefore ? this.changedNanos : nowNanos;
		extendBlock(untilNanos);
		return !blockedBefore;
	}

	/**
	 * Ends a block whose time is over.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if one ended
	 */
	boolean expireBlock(long nowNanos) {
		if (this.blockedUntilNanos.isEmpty() || blocked(nowNanos)) {
			return false;
		}
		this.blockedUntilNanos = OptionalLong.empty();
		this.crashes.removeIf((crash) -> true);
		this.changedNanos = nowNanos;
		return true;
	}

	/**
	 * Describes it to other daemons.
	 * @param nowNanos the time on the monotonic clock
	 * @return the report
	 */
	CrashReport report(long nowNanos) {
		List<ReportedCrash> reported = this.crashes.all()
			.stream()
			.map((crash) -> new ReportedCrash(crash.instance(), Millis.ofNanos(nowNanos - crash.atNanos())))
			.toList();
		OptionalLong answeredAgeMillis = this.answeredNanos.isPresent()
				? OptionalLong.of(Millis.ofNanos(nowNanos - this.answeredNanos.getAsLong())) : OptionalLong.empty();
		return new CrashReport(this.key, reported, answeredAgeMillis, blockedMillis(nowNanos));
	}

	private boolean answeredSince(long atNanos) {
		return this.answeredNanos.isPresent() && this.answeredNanos.getAsLong() >= atNanos;
	}

	private void extendBlock(long untilNanos) {
		this.blockedUntilNanos = OptionalLong.of(this.blockedUntilNanos.isPresent()
				? Math.max(untilNanos, this.blockedUntilNanos.getAsLong()) : untilNanos);
	}

	private long blockNanos() {
		return BLOCK_NANOS << Math.min(Math.max(0, this.blocks - 1), MAX_DOUBLINGS);
	}

}
