package org.rattanhead.decision.register;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberBeat;

/**
 * The other daemons: which are registered, which are alive and which are advertised to
 * callers.
 */
public final class MemberTable {

	/**
	 * The time without a heartbeat after which a daemon counts as dead; three periods.
	 */
	private static final long SILENCE_NANOS = Millis.toNanos(2_200);

	/** The same for a standby daemon, whose heartbeats are less frequent. */
	private static final long STANDBY_SILENCE_NANOS = ServingTurn.STANDBY_BEATS * SILENCE_NANOS;

	/** How long an unresponsive daemon is still sent heartbeats and counted. */
	private static final long SILENT_NANOS = Millis.toNanos(15_000);

	/** How long a daemon that is only registered in the store is sent updates. */
	private static final long LEARNED_NANOS = Millis.toNanos(600_000);

	/** How long a daemon counts as serving after another one reported it. */
	private static final long NAMED_NANOS = Millis.toNanos(1_500);

	/** The number of serving daemons that send heartbeats to each standby daemon. */
	private static final int INFORMANTS = 4;

	/** The most addresses that callers use, as specified by the platform. */
	private static final int MAX_NAMED = 64;

	/**
	 * Orders hosts by hash, which mixes failure domains and is the same on all daemons.
	 */
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
	 * Adds a daemon that is registered on the platform.
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
	 * Records a received heartbeat.
	 * @param beat the heartbeat
	 * @param nowNanos the time on the monotonic clock
	 * @return false if it was sent by an earlier incarnation of the daemon
	 */
	public boolean hear(MemberBeat beat, long nowNanos) {
		KnownMember known = this.members.get(beat.member().host());
		if (known != null && known.member().startedMillis() > beat.member().startedMillis()) {
			return false;
		}
		this.members.put(beat.member().host(), new KnownMember(beat.member(), true, beat.ready(), beat.serving(),
				nowNanos + (beat.serving() ? SILENCE_NANOS : STANDBY_SILENCE_NANOS)));
		return true;
	}

	/**
	 * Records a daemon that a serving daemon reports as serving. Only standby daemons
	 * need this, since a serving daemon receives the heartbeats of the others itself.
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
	 * Marks daemons as not alive when their timeout has passed, and removes them after a
	 * further retention time.
	 * @param nowNanos the time on the monotonic clock
	 * @return the hosts of the daemons that are no longer alive
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
	 * Returns all other daemons.
	 * @return the daemons
	 */
	public List<Member> recipients() {
		return this.members.values().stream().map(KnownMember::member).toList();
	}

	/**
	 * Returns the other daemons that are advertised to callers: those that are alive,
	 * ready and serving.
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
	 * Returns the daemons that this one sends heartbeats to in addition to the serving
	 * ones: those that stand by or have not sent a heartbeat yet. Each of them is
	 * assigned to a few serving daemons.
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
	 * Returns the serving daemons that exchange heartbeats with this one while it stands
	 * by.
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
	 * @param turn the decider of this daemon
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it serves
	 */
	public boolean serves(ServingTurn turn, long nowNanos) {
		List<Member> serving = serving();
		int before = (int) serving.stream().filter((member) -> precedes(member.host())).count();
		return turn.update(serving.size(), before, this.members.size() + 1 - serving.size(), nowNanos);
	}

	/**
	 * Returns whether another daemon reads for this one rather than the reverse.
	 * @param host the other daemon
	 * @param selfServing whether this daemon serves
	 * @return true if it does
	 */
	public boolean readsFor(String host, boolean selfServing) {
		return !selfServing || precedes(host);
	}

	/**
	 * Counts the daemons that share limits. Unresponsive ones count until they are
	 * removed, since they may only be unreachable. Those that have not sent a heartbeat
	 * yet count as well, up to the intended number of serving daemons.
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
	 * Counts the live daemons.
	 * @return the number, this one included
	 */
	public int alive() {
		return 1 + (int) this.members.values().stream().filter(KnownMember::alive).count();
	}

}
