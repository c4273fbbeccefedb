package org.rattanhead.decision.register;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberBeat;
import org.rattanhead.core.forward.UpstreamInstance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What is known of instances and daemons while the store and the network fail.
 */
class RegisterTests {

	private static final UpstreamInstance INSTANCE = new UpstreamInstance("i", "s", "10.0.0.1:80", "d", 4, false, 0, 1);

	@ParameterizedTest(name = "store lost: {0}, {1} ms after its return: known {2}")
	@CsvSource({ "false, 0, false", "true, 100, true", "true, 1900, true", "true, 2100, false" })
	void keepsEntriesThatVanishedWithTheStore(boolean lost, long millis, boolean known) {
		InstanceRegister register = new InstanceRegister();
		register.read(0);
		register.put(INSTANCE);
		if (lost) {
			register.lost();
		}
		register.read(Millis.toNanos(1_000));
		register.remove("i", Millis.toNanos(1_000));
		register.expire(Millis.toNanos(1_000 + millis));
		assertThat(register.instances().contains(INSTANCE)).isEqualTo(known);
	}

	@ParameterizedTest(name = "back after {0} ms")
	@ValueSource(longs = { 10, 1_500 })
	void keepsAnEntryThatReturns(long millis) {
		InstanceRegister register = new InstanceRegister();
		register.read(0);
		register.put(INSTANCE);
		register.lost();
		register.read(0);
		register.replace(List.of(), 0);
		register.put(INSTANCE);
		register.expire(Millis.toNanos(5_000 + millis));
		assertThat(register.instances()).containsExactly(INSTANCE);
	}

	@ParameterizedTest(name = "{0} ms after the last beat: ready {1}, alive {2}")
	@CsvSource({ "0, 1, 2", "2100, 1, 2", "2300, 0, 1" })
	void namesOnlyDaemonsThatWereHeardLately(long millis, int ready, int alive) {
		MemberTable table = new MemberTable("self");
		Member peer = new Member("peer", 1, "10.0.0.2:80", "10.0.0.2:90");
		table.learn(peer, 0);
		assertThat(table.ready()).as("an announcement alone").isEmpty();
		table.hear(new MemberBeat(peer, true, 1, List.of(), List.of()), 0);
		table.expire(Millis.toNanos(millis));
		assertThat(table.ready()).hasSize(ready);
		assertThat(table.alive()).isEqualTo(alive);
		assertThat(table.recipients()).containsExactly(peer);
	}

	@ParameterizedTest(name = "started at {0}: {1}")
	@CsvSource({ "4, false", "5, true", "6, true" })
	void ignoresBeatsOfAnEarlierLife(long startedMillis, boolean taken) {
		MemberTable table = new MemberTable("self");
		table.hear(beat(5, true), 0);
		assertThat(table.hear(beat(startedMillis, false), 0)).isEqualTo(taken);
		assertThat(table.ready()).hasSize(taken ? 0 : 1);
	}

	private static MemberBeat beat(long startedMillis, boolean ready) {
		return new MemberBeat(new Member("peer", startedMillis, "10.0.0.2:80", "10.0.0.2:90"), ready, 1, List.of(),
				List.of());
	}

}
