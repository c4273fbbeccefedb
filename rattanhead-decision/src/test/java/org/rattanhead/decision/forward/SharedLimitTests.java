package org.rattanhead.decision.forward;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.ServerNotice;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * Limits that servers name and that all daemons share.
 */
class SharedLimitTests {

	private static final long WINDOW_MILLIS = 4_000;

	private static final long TOLD_MILLIS = 500;

	private static final long SETTLED_MILLIS = 3_000;

	private static final double MIN_USED_SHARE = 0.7;

	static Stream<Arguments> troubles() {
		return Stream.of(trouble("none", (fleet) -> {
		}), trouble("a third of the datagrams lost", (fleet) -> fleet.disturb(1, 0.33)),
				trouble("datagrams up to 100 ms late", (fleet) -> fleet.disturb(100, 0)),
				trouble("a daemon joins", (fleet) -> {
					fleet.start("joined");
					fleet.count(fleet.hosts().size(), fleet.hosts().size());
				}), trouble("a daemon restarts", (fleet) -> {
					fleet.stop("d0");
					fleet.start("d0");
					fleet.count(fleet.hosts().size(), fleet.hosts().size());
				}), trouble("a daemon dies", (fleet) -> {
					fleet.stop("d0");
					fleet.count(fleet.hosts().size() + 1, Math.max(1, fleet.hosts().size()));
				}), trouble("halves", (fleet) -> {
					int daemons = fleet.hosts().size();
					fleet.connect((sender, receiver) -> half(sender) == half(receiver));
					fleet.count(daemons, daemons / 2);
				}));
	}

	static Stream<Arguments> limitsAndTroubles() {
		return Stream.of(1.0, 1.4, 5.0)
			.flatMap((limit) -> Stream.of(2, 8, 16)
				.flatMap((daemons) -> troubles()
					.map((trouble) -> Arguments.of(daemons, limit, trouble.get()[0], trouble.get()[1]))));
	}

	/** Guards against LIMIT: daemons together exceed the limit of a server. */
	@ParameterizedTest(name = "{0} daemons, {1} a second, trouble: {2}")
	@MethodSource("limitsAndTroubles")
	void keepsSharedLimit(int daemons, double limit, String name, Consumer<LimitedFleet> trouble) {
		LimitedFleet fleet = named(daemons, 1, limit);
		trouble.accept(fleet);
		fleet.forget();
		fleet.advance(12_000);
		assertThat((double) fleet.mostArrivals("o0", WINDOW_MILLIS)).isLessThanOrEqualTo(allowed(limit));
		assertThat(fleet.failed()).as("refusals without Retry-After").isZero();
		assertThat(fleet.slowestRefusalMillis()).as("slowest refusal").isLessThan(500);
	}

	/** Guards against limits that are kept by not using the servers. */
	@ParameterizedTest(name = "{0} daemons, {1} servers with {2} a second")
	@CsvSource({ "1, 1, 1", "8, 1, 1", "16, 1, 1", "1, 4, 5", "8, 4, 5", "16, 4, 1.4" })
	void usesLimitUnderDemand(int daemons, int servers, double limit) {
		LimitedFleet fleet = named(daemons, servers, limit);
		fleet.forget();
		fleet.advance(20_000);
		assertThat(fleet.served()).isGreaterThanOrEqualTo((int) (MIN_USED_SHARE * 20 * servers * limit));
	}

	/** Guards against callers that are refused although turns come soon enough. */
	@ParameterizedTest(name = "{0} daemons, {1} of {2} a second")
	@CsvSource({ "1, 2, 5", "8, 2, 5", "16, 1, 4" })
	void holdsRequestsWithinLimit(int daemons, double demand, double limit) {
		LimitedFleet fleet = named(daemons, 1, limit);
		fleet.demand(demand);
		fleet.advance(4_000);
		fleet.forget();
		fleet.advance(20_000);
		assertThat((double) fleet.mostArrivals("o0", WINDOW_MILLIS)).isLessThanOrEqualTo(allowed(limit));
		assertThat(fleet.slowestRefusalMillis()).as("no refusal").isZero();
	}

	/** Guards against a limit that others exceed, or that is kept after its end. */
	@ParameterizedTest(name = "{0} daemons: {1}, then {2}, then none")
	@CsvSource({ "1, 5, 1", "8, 5, 1", "8, 1.4, 5", "16, 5, 0", "8, 0, 5" })
	void followsChangesOfLimit(int daemons, double first, double second) {
		LimitedFleet fleet = named(daemons, 1, first);
		fleet.name("o0", OptionalDouble.of(second));
		fleet.advance(8_000);
		fleet.forget();
		fleet.advance(8_000);
		assertThat((double) fleet.mostArrivals("o0", WINDOW_MILLIS)).isLessThanOrEqualTo(allowed(second));
		assertThat(fleet.arrivals("o0")).isGreaterThanOrEqualTo((int) (MIN_USED_SHARE * 8 * second));
		fleet.name("o0", OptionalDouble.empty());
		fleet.advance((second > 0) ? 1_500 : 8_000);
		fleet.forget();
		fleet.advance(2_000);
		assertThat(fleet.served()).as("served of 120 in 2 s").isGreaterThan(90);
	}

	/** Guards against a limit that outlives the incarnation that named it. */
	@ParameterizedTest(name = "{0} daemons")
	@CsvSource({ "1", "8" })
	void endsWithIncarnation(int daemons) {
		LimitedFleet fleet = named(daemons, 1, 1);
		fleet.name("o0", OptionalDouble.empty());
		fleet.restart("o0", 0);
		fleet.forget();
		fleet.advance(2_000);
		assertThat(fleet.served()).isGreaterThan(90);
	}

	/** Guards against a datagram and a log line for each answer that names a limit. */
	@ParameterizedTest(name = "{0} answers")
	@ValueSource(ints = { 1, 50 })
	void tellsAndLogsChangesOnce(int answers) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		for (int answer = 0; answer < answers; answer++) {
			rig.handle(
					new InstanceNoticed("o0", OptionalLong.of(1), new ServerNotice(false, 0, OptionalDouble.of(1.4))));
		}
		rig.handle(new PeerLimitsReceived(List.of(new LimitReport("o1", 1, OptionalDouble.of(5), 3))));
		assertThat(rig.all(PublishLimits.class)).hasSize(1);
		assertThat(rig.all(LogDecision.class)).filteredOn((entry) -> entry.decision().equals("instance-limit"))
			.extracting(LogDecision::upstream, LogDecision::outcome)
			.containsExactly(tuple("o0", "said so in an answer"), tuple("o1", "reported by a peer"));
		assertThat(rig.handle(new HeartbeatDue())).filteredOn(PublishHeartbeat.class::isInstance)
			.singleElement()
			.extracting((command) -> ((PublishHeartbeat) command).limits().size())
			.isEqualTo(2);
	}

	private static LimitedFleet named(int daemons, int servers, double limit) {
		LimitedFleet fleet = new LimitedFleet(daemons, servers, 1);
		fleet.advance(SETTLED_MILLIS);
		for (int index = 0; index < servers; index++) {
			fleet.name("o" + index, OptionalDouble.of(limit));
		}
		fleet.advance(TOLD_MILLIS);
		return fleet;
	}

	private static double allowed(double limit) {
		return 1.5 * 4 * limit + 5;
	}

	private static int half(String host) {
		return Math.floorMod(host.hashCode(), 2);
	}

	private static Arguments trouble(String name, Consumer<LimitedFleet> action) {
		return Arguments.of(name, action);
	}

}
