package org.rattanhead.decision.limit;

import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.UpstreamInstance;

import static org.assertj.core.api.Assertions.assertThat;

class InstanceLimitsTests {

	private static final OptionalDouble NONE = OptionalDouble.empty();

	static Stream<Arguments> statements() {
		return Stream.of(row("a lower value in any answer", 2, (limits) -> named(limits, 1, 2, 20)),
				row("a higher value in an answer of unknown age", 5, (limits) -> named(limits, 1, 9, 20)),
				row("a higher value in a call sent before", 5, (limits) -> answered(limits, 9, 9, 20)),
				row("a higher value in a call sent after", 9, (limits) -> answered(limits, 9, 11, 20)),
				row("no value in a call sent before", 5, (limits) -> answered(limits, 0, 9, 20)),
				row("no value in a call sent after", 0, (limits) -> answered(limits, 0, 11, 20)),
				row("no value in a call sent before a confirmation", 5, (limits) -> {
					named(limits, 1, 5, 15);
					answered(limits, 0, 11, 20);
				}), row("a late answer after the end", 5, (limits) -> {
					answered(limits, 0, 11, 20);
					named(limits, 1, 5, 30);
				}), row("an older report of the limit after its end", 0, (limits) -> {
					answered(limits, 0, 11, 20);
					reported(limits, 1, 5, 25, 30);
				}), row("a newer report of the limit after its end", 5, (limits) -> {
					answered(limits, 0, 11, 20);
					reported(limits, 1, 5, 5, 30);
				}), row("a newer report of its end", 0, (limits) -> reported(limits, 1, 0, 5, 30)),
				row("an older report of its end", 5, (limits) -> reported(limits, 1, 0, 25, 30)),
				row("an earlier incarnation", 5, (limits) -> named(limits, 0, 1, 20)),
				row("a report of an earlier incarnation", 5, (limits) -> reported(limits, 0, 1, 0, 20)),
				row("a later incarnation", 0, (limits) -> named(limits, 2, 1, 20)));
	}

	/** Guards against LIMIT: answers and reports that overtake each other. */
	@ParameterizedTest(name = "5 a second at 10 ms, then {0}: {1}")
	@MethodSource("statements")
	void ordersStatements(String name, double perSecond, Consumer<InstanceLimits> later) {
		InstanceLimits limits = new InstanceLimits();
		named(limits, 1, 5, 10);
		later.accept(limits);
		assertThat(limits.perSecond(new UpstreamInstance("o", "s", "10.0.0.1:80", "d", 1, false, 0, 1)).orElse(0))
			.isEqualTo(perSecond);
	}

	private static void named(InstanceLimits limits, long incarnation, double perSecond, long nowMillis) {
		limits.named("o", incarnation, perSecond, Millis.toNanos(nowMillis));
	}

	private static void answered(InstanceLimits limits, double perSecond, long sentMillis, long nowMillis) {
		limits.answered("o", 1, optional(perSecond), Millis.toNanos(sentMillis), Millis.toNanos(nowMillis));
	}

	private static void reported(InstanceLimits limits, long incarnation, double perSecond, long ageMillis,
			long nowMillis) {
		limits.reported(new LimitReport("o", incarnation, optional(perSecond), ageMillis), Millis.toNanos(nowMillis));
	}

	private static OptionalDouble optional(double perSecond) {
		return (perSecond > 0) ? OptionalDouble.of(perSecond) : NONE;
	}

	private static Arguments row(String name, double perSecond, Consumer<InstanceLimits> later) {
		return Arguments.of(name, perSecond, later);
	}

}
