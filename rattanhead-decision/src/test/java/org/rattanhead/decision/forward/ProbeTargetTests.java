package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Stream;

import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.forward.UpstreamInstance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which instances a daemon probes that suspects its links.
 */
class ProbeTargetTests {

	private static final int ROUNDS = 20;

	/**
	 * What the first instance or the store says of it.
	 * @return one event for each row, as a function of the registered instances
	 */
	static Stream<Named<Function<List<UpstreamInstance>, ForwardEvent>>> statements() {
		return Stream.of(Named.of("leaves", (instances) -> noticed(new ServerNotice(true, 0))),
				Named.of("wants no requests for a time", (instances) -> noticed(new ServerNotice(false, 60_000))),
				Named.of("limits its requests",
						(instances) -> noticed(new ServerNotice(false, 0, OptionalDouble.of(2)))),
				Named.of("drains", ProbeTargetTests::firstDrains));
	}

	/**
	 * Guards against BUDGET, LIMIT and DRAIN: probes of instances that want no requests.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("statements")
	void sparesInstancesThatWantNoRequests(Function<List<UpstreamInstance>, ForwardEvent> statement) {
		assertThat(probed(6, statement)).hasSizeGreaterThan(ROUNDS).doesNotContain("o0");
	}

	/** Guards against a daemon that does not learn that its links are back. */
	@ParameterizedTest(name = "{0}")
	@MethodSource("statements")
	void probesThemIfThereAreNoOthers(Function<List<UpstreamInstance>, ForwardEvent> statement) {
		assertThat(probed(1, statement)).contains("o0");
	}

	private static List<String> probed(int count, Function<List<UpstreamInstance>, ForwardEvent> statement) {
		ForwardRig rig = ForwardRig.configured(0, count);
		rig.submit("/look/");
		rig.handle(statement.apply(ForwardRig.instances(0, count)));
		rig.failAttempt(rig.lastAttempt(), AttemptFault.NOT_SENT);
		List<String> probed = new ArrayList<>();
		for (int round = 0; round < ROUNDS; round++) {
			rig.commands.clear();
			rig.advance(600);
			List<String> ids = rig.all(ProbeInstance.class).stream().map((probe) -> probe.instance().id()).toList();
			ids.forEach((id) -> rig.handle(new InstanceProbed(id, false)));
			probed.addAll(ids);
		}
		return probed;
	}

	private static ForwardEvent noticed(ServerNotice notice) {
		return new InstanceNoticed("o0", OptionalLong.of(1), notice);
	}

	private static ForwardEvent firstDrains(List<UpstreamInstance> instances) {
		List<UpstreamInstance> changed = new ArrayList<>(instances);
		changed.set(0, ForwardRig.instance("o0", ForwardRig.ORDERS, 0, true));
		return new InstancesChanged(changed);
	}

}
