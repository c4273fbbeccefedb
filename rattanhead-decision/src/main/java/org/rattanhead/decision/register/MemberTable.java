package org.rattanhead.decision.register;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;

/**
 * The other daemons: who is known, who lives, who may be named to callers.
 */
public final class MemberTable {

	/** The time without a beat after which a daemon counts as dead; three beats. */
	private static final long SILENCE_NANOS = Millis.toNanos(2_200);

	/** The same for a daemon that stands by, whose beats are rarer. */
	private static final long STANDBY_SILENCE_NANOS = ServingTurn.STANDBY_BEATS * SILENCE_NANOS;

	/** How long a silent daemon is still sent beats and counted. */
	private static final long SILENT_NANOS = Millis.toNanos(15_000);

	/** How long a daemon that is only known from the store is told news. */
	private static final long LEARNED_NANOS = Millis.toNanos(600_000);

	/** How long a daemon is believed to serve because another one names it. */
	private static final long NAMED_NANOS = Millis.toNanos(1_500);

	/** The serving daemons that send beats to a daemon that stands by. */
	private static final int INFORMANTS = 4;

	/** The most addresses that callers use, from the platform's pages. */
	private static final int MAX_NAMED = 64;

	/** An order that mixes failure domains, the same on all daemons. */
	private static final Comparator<String> ORDER = Comparator.<String>comparingInt(String::hashCode)
		.thenComparing(Comparator.naturalOrder());

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
			this.members.put(member.host(), new KnownMember(member, false, false, false, nowNanos + LEARNED_NANOS));
		}
	}

	/**
	 * Takes a beat.
	 * @param beat the beat
	 * @param nowNanos the time on the monotonic clock
	 * @return false if it is of an earlier life of the daemon
	 */
	public boolean hear(MemberHeartbeat beat, long nowNanos) {
		KnownMember known = this.members.get(beat.member().host());
		if (known != null && known.member().startedMillis() > beat.member().startedMillis()) {
			return false;
		}
		this.members.put(beat.member().host(), new KnownMember(beat.member(), true, beat.ready(), beat.serving(),
				nowNanos + (beat.serving() ? SILENCE_NANOS : STANDBY_SILENCE_NANOS)));
		return true;
	}

	/**
	 * Takes a daemon that another one hears. A daemon that serves hears the others itself
	 * and has no use for this.
	 * @param member the daemon
	 * @param nowNanos the time on the monotonic clock
	 */
	public void named(Member member, long nowNanos) {
		KnownMember known = this.members.get(member.host());
		boolean older = known != null && known.member().startedMillis() > member.startedMillis();
		boolean heard = known != null && known.alive() && known.untilNanos() > nowNanos + NAMED_NANOS;
		if (!older && !heard && !member.host().equals(this.self)) {
			this.members.put(member.host(), new KnownMember(member, true, true, true, nowNanos + NAMED_NANOS));
		}
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
						new KnownMember(known.member(), false, false, known.serving(), nowNanos + SILENT_NANOS));
			}
			else {
				this.members.remove(known.member().host());
			}
		}
		return silent;
	}

	/**
	 * Lists all other daemons.
	 * @return the daemons
	 */
	public List<Member> recipients() {
		return this.members.values().stream().map(KnownMember::member).toList();
	}

	/**
	 * Lists the other daemons that callers may be sent to: they live, are ready and
	 * serve.
	 * @return the daemons
	 */
	public List<Member> serving() {
		return this.members.values()
			.stream()
			.filter((known) -> known.ready() && known.serving())
			.map(KnownMember::member)
			.limit(MAX_NAMED - 1)
			.toList();
	}

	/**
	 * Lists the daemons that this one sends beats to, besides those that serve: the
	 * daemons that stand by or were not heard yet, each of which is informed by a few.
	 * @return the daemons
	 */
	public List<Member> informed() {
		List<String> informants = sortedServing(this.self);
		return this.members.values()
			.stream()
			.filter((known) -> !known.ready() || !known.serving())
			.map(KnownMember::member)
			.filter((member) -> informs(informants, this.self, member.host()))
			.toList();
	}

	/**
	 * Lists the serving daemons that inform this one while it stands by.
	 * @return the daemons
	 */
	public List<Member> informants() {
		List<String> informants = sortedServing(null);
		return serving().stream().filter((member) -> informs(informants, member.host(), this.self)).toList();
	}

	private List<String> sortedServing(String besides) {
		List<String> hosts = new ArrayList<>(serving().stream().map(Member::host).toList());
		if (besides != null) {
			hosts.add(besides);
		}
		hosts.sort(ORDER);
		return hosts;
	}

	private static boolean informs(List<String> informants, String informant, String host) {
		int first = Math.floorMod(host.hashCode(), informants.size());
		return Math.floorMod(informants.indexOf(informant) - first, informants.size()) < INFORMANTS;
	}

	/**
	 * Decides whether this daemon serves.
	 * @param turn its turns
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it does
	 */
	public boolean serves(ServingTurn turn, long nowNanos) {
		List<Member> serving = serving();
		int before = (int) serving.stream().filter((member) -> precedes(member.host())).count();
		return turn.update(serving.size(), before, this.members.size() + 1 - serving.size(), nowNanos);
	}

	/**
	 * Tells whether another daemon reads for this one rather than the reverse.
	 * @param host the other daemon
	 * @param selfServing whether this daemon serves
	 * @return true if it does
	 */
	public boolean readsFor(String host, boolean selfServing) {
		return !selfServing || precedes(host);
	}

	/**
	 * Counts the daemons that share limits. Silent ones count for a while, since they may
	 * only be out of reach, and so do those that were never heard, up to the number that
	 * serves.
	 * @return the number, this one included
	 */
	public int sharing() {
		int serving = 0;
		int unheard = 0;
		for (KnownMember known : this.members.values()) {
			serving += known.serving() ? 1 : 0;
			unheard += (!known.alive() && !known.serving()) ? 1 : 0;
		}
		return 1 + Math.max(serving, Math.min(ServingTurn.SERVING_DAEMONS - 1, serving + unheard));
	}

	private boolean precedes(String host) {
		return ORDER.compare(host, this.self) < 0;
	}

	/**
	 * Counts the living daemons.
	 * @return the number, this one included
	 */
	public int alive() {
		return 1 + (int) this.members.values().stream().filter(KnownMember::alive).count();
	}

}
