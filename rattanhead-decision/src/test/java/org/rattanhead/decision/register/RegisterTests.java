package org.rattanhead.decision.register;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.forward.UpstreamInstance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link InstanceRegistry} and {@link MemberTable} during failures of the store
 * and the network.
 */
class RegisterTests {

	private static final UpstreamInstance INSTANCE = new UpstreamInstance("i", "s", "10.0.0.1:80", "d", 4, false, 0, 1);

	@ParameterizedTest(name = "store unreachable: {0}, {1} ms after recovery: registered {2}")
	@CsvSource({ "false, 0, false", "true, 100, true", "true, 1900, true", "true, 2100, false" })
	void keepsMissingEntriesForAGracePeriodAfterStoreRecovery(boolean unreachable, long millis, boolean registered) {
		InstanceRegistry register = new InstanceRegistry();
		register.onStoreRead(0);
		register.put(INSTANCE);
		if (unreachable) {
			register.onStoreUnreachable();
		}
		register.onStoreRead(Millis.toNanos(1_000));
		register.remove("i", Millis.toNanos(1_000));
		register.expire(Millis.toNanos(1_000 + millis));
		assertThat(register.instances().contains(INSTANCE)).isEqualTo(registered);
	}

	/**
	 * Guards against an instance that gets work again because a restored store shows it
	 * as it was before it left, and against one that is lost with its entry.
	 */
	@ParameterizedTest(name = "known {0}, in the copy {1}, written again {2}, after {3} ms: {4}")
	@CsvSource({ "draining, ready, '', 100, draining", "draining, ready, '', 9000, draining",
			"draining, ready, ready, 100, ready", "ready, draining, '', 100, ready", "gone, ready, '', 100, gone",
			"gone, ready, '', 3900, gone", "gone, ready, '', 4100, ready", "gone, ready, ready, 100, ready",
			"ready, gone, '', 1900, ready", "ready, gone, '', 2100, gone", "ready, gone, ready, 9000, ready",
			"ready, newer, '', 100, newer", "gone, ready, gone, 9000, gone" })
	void keepsWhatIsNewerThanARestoredCopy(String known, String copied, String written, long millis, String expected) {
		InstanceRegistry register = new InstanceRegistry();
		register.onStoreRead(0);
		register.replace(entries(known), 0);
		register.onStoreRestored(0);
		register.replace(entries(copied), 0);
		entries(written).forEach(register::put);
		if (written.equals("gone")) {
			register.remove("i", 0);
		}
		register.expire(Millis.toNanos(millis));
		assertThat(register.instances()).isEqualTo(entries(expected));
	}

	private static List<UpstreamInstance> entries(String state) {
		return switch (state) {
			case "ready" -> List.of(INSTANCE);
			case "draining" -> List.of(new UpstreamInstance("i", "s", "10.0.0.1:80", "d", 4, true, 0, 1));
			case "newer" -> List.of(new UpstreamInstance("i", "s", "10.0.0.1:80", "d", 4, false, 0, 2));
			default -> List.of();
		};
	}

	/** Guards against an entry that another daemon needs and does not get. */
	@ParameterizedTest(name = "{0} ms after a restore: repeats are passed on {1}")
	@CsvSource({ "0, true", "3900, true", "4100, false" })
	void passesOnRepeatedEntriesAfterARestore(long millis, boolean passedOn) {
		InstanceRegistry register = new InstanceRegistry();
		register.put(INSTANCE);
		register.onStoreRestored(0);
		assertThat(register.isCurrent(INSTANCE, Millis.toNanos(millis))).isEqualTo(!passedOn);
	}

	@ParameterizedTest(name = "registered again after {0} ms")
	@ValueSource(longs = { 10, 1_500 })
	void keepsAnEntryThatIsRegisteredAgain(long millis) {
		InstanceRegistry register = new InstanceRegistry();
		register.onStoreRead(0);
		register.put(INSTANCE);
		register.onStoreUnreachable();
		register.onStoreRead(0);
		register.replace(List.of(), 0);
		register.put(INSTANCE);
		register.expire(Millis.toNanos(5_000 + millis));
		assertThat(register.instances()).containsExactly(INSTANCE);
	}

	@ParameterizedTest(name = "{0} ms after the last heartbeat: ready {1}, alive {2}")
	@CsvSource({ "0, 1, 2", "2100, 1, 2", "2300, 0, 1" })
	void advertisesOnlyDaemonsWithARecentHeartbeat(long millis, int ready, int alive) {
		MemberTable table = new MemberTable(peer("self"));
		Member peer = new Member("peer", 1, "10.0.0.2:80", "10.0.0.2:90", 0);
		table.add(peer, 0);
		assertThat(table.serving()).as("registration alone").isEmpty();
		table.receiveHeartbeat(new MemberHeartbeat(peer, true, true, 1, List.of(), List.of(), List.of()), 0);
		table.expire(Millis.toNanos(millis));
		assertThat(table.serving()).hasSize(ready);
		assertThat(table.aliveCount()).isEqualTo(alive);
		assertThat(table.recipients()).containsExactly(peer);
	}

	@ParameterizedTest(name = "{0} serving, {1} standing by, {2} without a heartbeat: {3} share limits")
	@CsvSource({ "0, 0, 0, 1", "8, 0, 0, 9", "3, 0, 5, 9", "24, 62, 0, 25", "2, 0, 80, 16", "30, 0, 50, 31" })
	void countsTheDaemonsThatShareLimits(int serving, int standby, int unconfirmed, int sharing) {
		MemberTable table = new MemberTable(peer("self"));
		for (int peer = 0; peer < serving + standby + unconfirmed; peer++) {
			Member member = new Member("peer-" + peer, 1, "10.0.0.2:80", "10.0.0.2:90", 0);
			table.add(member, 0);
			if (peer < serving + standby) {
				table.receiveHeartbeat(
						new MemberHeartbeat(member, true, peer < serving, 1, List.of(), List.of(), List.of()), 0);
			}
		}
		assertThat(table.sharingCount()).isEqualTo(sharing);
		table.expire(Millis.toNanos(7_000));
		assertThat(table.sharingCount()).as("unresponsive daemons count as well").isGreaterThanOrEqualTo(sharing);
	}

	@ParameterizedTest(name = "a daemon that {0} is advertised to callers: {3}")
	@CsvSource({ "serves, true, true, 1", "is not ready, false, true, 0", "stands by, true, false, 0" })
	void advertisesOnlyDaemonsThatServe(String what, boolean ready, boolean serving, int advertised) {
		MemberTable table = new MemberTable(peer("self"));
		table.receiveHeartbeat(new MemberHeartbeat(new Member("peer", 1, "10.0.0.2:80", "10.0.0.2:90", 0), ready,
				serving, 1, List.of(), List.of(), List.of()), 0);
		assertThat(table.serving()).hasSize(advertised);
	}

	@ParameterizedTest(name = "{0} serving daemons: each of {1} others is assigned to {2}")
	@CsvSource({ "1, 8, 1", "3, 5, 2", "24, 62, 2", "24, 1376, 2" })
	void assignsEachStandbyDaemonToAFewServingDaemons(int serving, int others, int assigned) {
		List<Member> servers = IntStream.range(0, serving).mapToObj((peer) -> peer("serving-" + peer)).toList();
		List<Member> standbys = IntStream.range(0, others).mapToObj((peer) -> peer("standby-" + peer)).toList();
		Map<Member, Integer> assignments = new HashMap<>();
		for (Member server : servers) {
			MemberTable table = new MemberTable(server);
			standbys.forEach((standby) -> table.add(standby, 0));
			servers.stream()
				.filter((other) -> other != server)
				.forEach((other) -> receiveServingHeartbeat(table, other));
			table.assignedStandbys().forEach((standby) -> assignments.merge(standby, 1, Integer::sum));
		}
		assertThat(assignments).hasSize(others);
		assertThat(assignments.values()).containsOnly(assigned);
		MemberTable table = new MemberTable(standbys.get(0));
		servers.forEach((server) -> receiveServingHeartbeat(table, server));
		assertThat(table.assignedServers()).hasSize(assigned);
	}

	@ParameterizedTest(name = "{0} ms after it was reported: {1} advertised to callers")
	@CsvSource({ "0, 1", "3100, 1", "3300, 0" })
	void advertisesDaemonsReportedByServingDaemons(long millis, int advertised) {
		MemberTable table = new MemberTable(peer("self"));
		table.receiveReport(List.of(peer("peer"), peer("self")), 0);
		table.expire(Millis.toNanos(millis));
		assertThat(table.serving()).hasSize(advertised);
	}

	@ParameterizedTest(
			name = "{0} serving daemons, a daemon that serves: {1}, then none of {2} heartbeats: {3} report it")
	@CsvSource({ "16, true, all, 16", "16, false, all, 2", "3, false, all, 2" })
	void reportsSilenceOfDaemonsThatSendHeartbeats(int servers, boolean serving, String what, int reports) {
		List<Member> serversList = IntStream.range(0, servers).mapToObj((peer) -> peer("serving-" + peer)).toList();
		Member silent = peer("silent");
		int reported = 0;
		for (Member server : serversList) {
			MemberTable table = new MemberTable(server);
			serversList.stream()
				.filter((other) -> other != server)
				.forEach((other) -> table.receiveHeartbeat(
						new MemberHeartbeat(other, true, true, 1, List.of(), List.of(), List.of()),
						Millis.toNanos(6_000)));
			table.receiveHeartbeat(new MemberHeartbeat(silent, true, serving, 1, List.of(), List.of(), List.of()), 0);
			reported += table.expire(Millis.toNanos(7_000)).contains("silent") ? 1 : 0;
			assertThat(table.recipients()).contains(silent);
		}
		assertThat(reported).isEqualTo(reports);
	}

	@ParameterizedTest(name = "left out after 1 s, then {0} ms, reported by another daemon: {1}: {2} advertised")
	@CsvSource({ "1400, false, 2", "1600, false, 1", "1600, true, 2" })
	void advertisesNoDaemonThatReportsLeaveOut(long millis, boolean reportedAgain, int advertised) {
		MemberTable table = new MemberTable(peer("self"));
		receiveServingHeartbeat(table, peer("server"));
		table.receiveReport(List.of(peer("peer"), peer("server")), 0);
		table.receiveReport(List.of(peer("server")), Millis.toNanos(1_000));
		if (reportedAgain) {
			table.receiveReport(List.of(peer("peer"), peer("server")), Millis.toNanos(1_100));
		}
		table.expire(Millis.toNanos(1_000 + millis));
		assertThat(table.serving()).hasSize(advertised);
	}

	@ParameterizedTest(name = "{0} serving daemons, one {1}: {2} of the others send it their load")
	@CsvSource({ "8, shuts down, 7", "16, shuts down, 15", "8, serves, 7", "8, stands by, 0" })
	void sendsLoadToDaemonThatShutsDown(int servers, String what, int senders) {
		List<Member> others = IntStream.range(1, servers).mapToObj((peer) -> peer("serving-" + peer)).toList();
		Member one = peer("one");
		int sending = 0;
		int assigned = 0;
		for (Member server : others) {
			MemberTable table = new MemberTable(server);
			others.stream()
				.filter((other) -> other != server)
				.forEach((other) -> receiveServingHeartbeat(table, other));
			table.receiveHeartbeat(new MemberHeartbeat(one, !what.equals("shuts down"), !what.equals("stands by"), 1,
					List.of(), List.of(), List.of()), 0);
			sending += table.loadRecipients().contains(one) ? 1 : 0;
			assigned += table.assignedStandbys().contains(one) ? 1 : 0;
			assertThat(table.serving().contains(one)).as("advertised").isEqualTo(what.equals("serves"));
		}
		assertThat(sending).isEqualTo(senders);
		assertThat(assigned).isEqualTo((senders > 0) ? 0 : 2);
	}

	private static Member peer(String host) {
		return new Member(host, 1, "10.0.0.2:80", "10.0.0.2:90", 0);
	}

	private static void receiveServingHeartbeat(MemberTable table, Member member) {
		table.receiveHeartbeat(new MemberHeartbeat(member, true, true, 1, List.of(), List.of(), List.of()), 0);
	}

	/** Guards against LOST: heartbeats with ever new names filled the memory. */
	@ParameterizedTest(name = "{0} daemons: {1} kept")
	@CsvSource({ "300, 300", "4096, 4096", "10000, 4096" })
	void keepsBoundedNumberOfDaemons(int daemons, int kept) {
		MemberTable table = new MemberTable(peer("self"));
		for (int daemon = 0; daemon < daemons; daemon++) {
			receiveServingHeartbeat(table, peer("h" + daemon));
			table.add(peer("r" + daemon), 0);
		}
		assertThat(table.recipients()).hasSize(Math.min(2 * kept, 4_096));
		assertThat(table.find("h0")).isPresent();
	}

	@ParameterizedTest(name = "started at {0}: accepted {1}")
	@CsvSource({ "4, false", "5, true", "6, true" })
	void ignoresHeartbeatsOfAnEarlierIncarnation(long startedMillis, boolean accepted) {
		MemberTable table = new MemberTable(peer("self"));
		table.receiveHeartbeat(heartbeat(5, true), 0);
		assertThat(table.receiveHeartbeat(heartbeat(startedMillis, false), 0)).isEqualTo(accepted);
		assertThat(table.serving()).hasSize(accepted ? 0 : 1);
	}

	private static MemberHeartbeat heartbeat(long startedMillis, boolean ready) {
		return new MemberHeartbeat(new Member("peer", startedMillis, "10.0.0.2:80", "10.0.0.2:90", 0), ready, true, 1,
				List.of(), List.of(), List.of());
	}

}
