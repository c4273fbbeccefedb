package org.rattanhead.decision.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberBeat;

/**
 * The other daemons: who is known, who lives, who may be named to callers.
 */
public final class MemberTable {

	/** The time without a beat after which a daemon counts as dead; three beats. */
	private static final long SILENCE_NANOS = Millis.toNanos(2_200);

	/** How long a daemon that is only known from the store is sent beats. */
	private static final long LEARNED_NANOS = Millis.toNanos(15_000);

	private final String self;

	private final Map<String, KnownMember> members = new HashMap<>();

	/**
	 * Creates a table.
	 * @param self the host of this daemon
	 */
	public MemberTable(String self) {
		this.self = self;
	}

	/**
	 * Takes a daemon that announced itself on the platform.
	 * @param member the daemon
	 * @param nowNanos the time on the monotonic clock
	 */
	public void learn(Member member, long nowNanos) {
		KnownMember known = this.members.get(member.host());
		boolean newer = known == null || known.member().startedMillis() < member.startedMillis();
		if (newer && !member.host().equals(this.self)) {
			this.members.put(member.host(), new KnownMember(member, false, false, nowNanos + LEARNED_NANOS));
		}
	}

	/**
	 * Takes a beat.
	 * @param beat the beat
	 * @param nowNanos the time on the monotonic clock
	 * @return false if it is of an earlier life of the daemon
	 */
	public boolean hear(MemberBeat beat, long nowNanos) {
		KnownMember known = this.members.get(beat.member().host());
		if (known != null && known.member().startedMillis() > beat.member().startedMillis()) {
			return false;
		}
		this.members.put(beat.member().host(),
				new KnownMember(beat.member(), true, beat.ready(), nowNanos + SILENCE_NANOS));
		return true;
	}

	/**
	 * Drops the daemons that were silent for too long.
	 * @param nowNanos the time on the monotonic clock
	 * @return the hosts of daemons that were alive before
	 */
	public List<String> expire(long nowNanos) {
		List<String> silent = new ArrayList<>();
		for (KnownMember known : List.copyOf(this.members.values())) {
			if (nowNanos < known.untilNanos()) {
				continue;
			}
			if (known.alive()) {
				silent.add(known.member().host());
				this.members.put(known.member().host(),
						new KnownMember(known.member(), false, false, nowNanos + LEARNED_NANOS));
			}
			else {
				this.members.remove(known.member().host());
			}
		}
		return silent;
	}

	/**
	 * Lists the daemons that are to be sent beats.
	 * @return the daemons
	 */
	public List<Member> recipients() {
		return this.members.values().stream().map(KnownMember::member).toList();
	}

	/**
	 * Lists the daemons that live and are ready.
	 * @return the daemons
	 */
	public List<Member> ready() {
		return this.members.values().stream().filter(KnownMember::ready).map(KnownMember::member).toList();
	}

	/**
	 * Counts the living daemons.
	 * @return the number, this one included
	 */
	public int alive() {
		return 1 + (int) this.members.values().stream().filter(KnownMember::alive).count();
	}

}
