package org.rattanhead.decision.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;

/**
 * The other daemons: which are registered, which are alive and which are advertised to
 * callers.
 */
public final class MemberTable {

	/**
	 * The time without a heartbeat after which a daemon counts as not alive; three
	 * periods.
	 */
	private static final long HEARTBEAT_TIMEOUT_NANOS = Millis.toNanos(2_200);

	/** The same for a standby daemon, whose heartbeats are less frequent. */
	private static final long STANDBY_HEARTBEAT_TIMEOUT_NANOS = ServingDecider.STANDBY_HEARTBEAT_PERIODS
			* HEARTBEAT_TIMEOUT_NANOS;

	/** How long an unresponsive daemon is still sent heartbeats and counted. */
	private static final long UNRESPONSIVE_RETENTION_NANOS = Millis.toNanos(15_000);

	/** How long a daemon that is only registered in the store is sent updates. */
	private static final long REGISTERED_RETENTION_NANOS = Millis.toNanos(600_000);

	/** How long a daemon counts as serving after another one reported it. */
	private static final long REPORTED_TIMEOUT_NANOS = Millis.toNanos(3_200);

	/**
	 * How long a daemon that a report leaves out counts as serving; longer than the
	 * period of reports.
	 */
	private static final long OMITTED_TIMEOUT_NANOS = Millis.toNanos(1_500);

	/** The most addresses that callers use, as specified by the platform. */
	private static final int MAX_ADVERTISED_DAEMONS = 64;

	/** Far more than there are; names of hosts arrive from the network. */
	private static final int MAX_MEMBERS = 4_096;

	private final Member self;

	private final Map<String, MemberState> members = new HashMap<>();

	/**
	 * Creates a table.
	 * @param self this daemon
	 */
	public MemberTable(Member self) {
		this.self = self;
	}

	/**
	 * Adds a daemon that is registered on the platform.
	 * @param member the daemon
	 * @param nowNanos the time on the monotonic clock
	 */
	public void add(Member member, long nowNanos) {
		MemberState state = this.members.get(member.host());
		boolean newer = state == null || state.member().startedMillis() < member.startedMillis();
		if (newer && !member.host().equals(this.self.host())) {
			put(member.host(), new MemberState(member, false, false, false, nowNanos + REGISTERED_RETENTION_NANOS));
		}
	}

	/**
	 * Records a received heartbeat.
	 * @param heartbeat the heartbeat
	 * @param nowNanos the time on the monotonic clock
	 * @return false if it was sent by an earlier incarnation of the daemon
	 */
	public boolean receiveHeartbeat(MemberHeartbeat heartbeat, long nowNanos) {
		MemberState state = this.members.get(heartbeat.member().host());
		if (state != null && state.member().startedMillis() > heartbeat.member().startedMillis()) {
			return false;
		}
		put(heartbeat.member().host(), new MemberState(heartbeat.member(), true, heartbeat.ready(), heartbeat.serving(),
				nowNanos + (heartbeat.serving() ? HEARTBEAT_TIMEOUT_NANOS : STANDBY_HEARTBEAT_TIMEOUT_NANOS)));
		return true;
	}

	/**
	 * Records the daemons that a serving daemon reports as serving. Only standby daemons
	 * need this, since a serving daemon receives the heartbeats of the others itself. A
	 * daemon that is left out soon counts as not alive, unless it or another report says
	 * otherwise.
	 * @param servingMembers the daemons
	 * @param nowNanos the time on the monotonic clock
	 */
	public void receiveReport(List<Member> servingMembers, long nowNanos) {
		Set<String> reported = servingMembers.stream().map(Member::host).collect(Collectors.toSet());
		for (MemberState state : List.copyOf(this.members.values())) {
			String host = state.member().host();
			if (state.alive() && state.serving() && !reported.contains(host)) {
				put(host, new MemberState(state.member(), true, state.ready(), true,
						Math.min(state.expiresNanos(), nowNanos + OMITTED_TIMEOUT_NANOS)));
			}
		}
		servingMembers.forEach((member) -> addReported(member, nowNanos));
	}

	private void addReported(Member member, long nowNanos) {
		MemberState state = this.members.get(member.host());
		boolean older = state != null && state.member().startedMillis() > member.startedMillis();
		boolean expiresLater = state != null && state.alive()
				&& state.expiresNanos() > nowNanos + REPORTED_TIMEOUT_NANOS;
		if (!older && !expiresLater && !member.host().equals(this.self.host())) {
			put(member.host(), new MemberState(member, true, true, true, nowNanos + REPORTED_TIMEOUT_NANOS));
		}
	}

	/**
	 * Marks daemons as not alive when their timeout has passed, and removes them after a
	 * further retention time. A standby daemon that is assigned to others sends nothing
	 * here, so its silence is not reported.
	 * @param nowNanos the time on the monotonic clock
	 * @return the hosts of the daemons that are no longer alive
	 */
	public List<String> expire(long nowNanos) {
		List<String> unresponsive = new ArrayList<>();
		for (MemberState state : List.copyOf(this.members.values())) {
			if (nowNanos < state.expiresNanos()) {
				continue;
			}
			if (state.alive() && expectsHeartbeatsFrom(state)) {
				unresponsive.add(state.member().host());
				put(state.member().host(), new MemberState(state.member(), false, false, state.serving(),
						nowNanos + UNRESPONSIVE_RETENTION_NANOS));
			}
			else if (state.alive()) {
				put(state.member().host(),
						new MemberState(state.member(), false, false, false, nowNanos + REGISTERED_RETENTION_NANOS));
			}
			else {
				this.members.remove(state.member().host());
			}
		}
		return unresponsive;
	}

	private boolean expectsHeartbeatsFrom(MemberState state) {
		return state.serving()
				|| MemberOrder.isAssigned(sortedServing(this.self.host()), this.self.host(), state.member().host());
	}

	/**
	 * Returns all other daemons.
	 * @return the daemons
	 */
	public List<Member> recipients() {
		return this.members.values().stream().map(MemberState::member).toList();
	}

	/**
	 * Finds another daemon.
	 * @param host its host
	 * @return the daemon, empty if it is not known
	 */
	public Optional<Member> find(String host) {
		return Optional.ofNullable(this.members.get(host)).map(MemberState::member);
	}

	/**
	 * Returns the other daemons that are advertised to callers: those that are alive,
	 * ready and serving.
	 * @return the daemons
	 */
	public List<Member> serving() {
		return this.members.values()
			.stream()
			.filter((state) -> state.ready() && state.serving())
			.map(MemberState::member)
			.limit(MAX_ADVERTISED_DAEMONS - 1)
			.toList();
	}

	/**
	 * Returns the other daemons that this one sends its load to: those that serve, also
	 * while they are not ready, since a daemon that shuts down still places requests.
	 * @return the daemons
	 */
	public List<Member> loadRecipients() {
		return this.members.values().stream().filter(MemberTable::exchangesLoad).map(MemberState::member).toList();
	}

	private static boolean exchangesLoad(MemberState state) {
		return state.alive() && state.serving();
	}

	/**
	 * Returns the daemons that this one sends heartbeats to in addition to those that
	 * serve: those that stand by or have not sent a heartbeat yet. Each of them is
	 * assigned to a few serving daemons.
	 * @return the daemons
	 */
	public List<Member> assignedStandbys() {
		List<String> servers = sortedServing(this.self.host());
		return this.members.values()
			.stream()
			.filter((state) -> !exchangesLoad(state))
			.map(MemberState::member)
			.filter((member) -> MemberOrder.isAssigned(servers, this.self.host(), member.host()))
			.toList();
	}

	/**
	 * Returns the serving daemons that exchange heartbeats with this one while it stands
	 * by.
	 * @return the daemons
	 */
	public List<Member> assignedServers() {
		List<String> servers = sortedServing(null);
		return serving().stream()
			.filter((member) -> MemberOrder.isAssigned(servers, member.host(), this.self.host()))
			.toList();
	}

	private List<String> sortedServing(String additional) {
		List<String> hosts = new ArrayList<>(serving().stream().map(Member::host).toList());
		if (additional != null) {
			hosts.add(additional);
		}
		hosts.sort(MemberOrder.HOST_ORDER);
		return hosts;
	}

	/**
	 * Decides whether this daemon serves.
	 * @param decider the decider of this daemon
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it serves
	 */
	public boolean updateServing(ServingDecider decider, long nowNanos) {
		List<Member> serving = serving();
		int preceding = (int) serving.stream()
			.filter((member) -> MemberOrder.SERVING_ORDER.compare(member, this.self) < 0)
			.count();
		boolean weaker = serving.stream()
			.anyMatch((member) -> member.processorMillicores() < this.self.processorMillicores());
		return decider.update(
				new ServingView(serving.size(), preceding, weaker, this.members.size() + 1 - serving.size()), nowNanos);
	}

	/**
	 * Returns whether another daemon reads for this one rather than the reverse.
	 * @param host the other daemon
	 * @param selfServing whether this daemon serves
	 * @return true if it does
	 */
	public boolean readsFor(String host, boolean selfServing) {
		if (!selfServing) {
			return true;
		}
		MemberState state = this.members.get(host);
		return (state != null) ? MemberOrder.SERVING_ORDER.compare(state.member(), this.self) < 0
				: MemberOrder.HOST_ORDER.compare(host, this.self.host()) < 0;
	}

	/**
	 * Counts the daemons that share limits. Unresponsive ones count until they are
	 * removed, since they may only be unreachable. Those that have not sent a heartbeat
	 * yet count as well, up to the intended number of serving daemons.
	 * @return the number, this one included
	 */
	public int sharingCount() {
		int serving = 0;
		int unconfirmed = 0;
		for (MemberState state : this.members.values()) {
			serving += state.serving() ? 1 : 0;
			unconfirmed += (!state.alive() && !state.serving()) ? 1 : 0;
		}
		return 1 + Math.max(serving, Math.min(ServingDecider.SERVING_DAEMONS - 1, serving + unconfirmed));
	}

	/**
	 * Counts the live daemons.
	 * @return the number, this one included
	 */
	public int aliveCount() {
		return 1 + (int) this.members.values().stream().filter(MemberState::alive).count();
	}

	private void put(String host, MemberState state) {
		if (this.members.size() < MAX_MEMBERS || this.members.containsKey(host)) {
			this.members.put(host, state);
		}
	}

}
