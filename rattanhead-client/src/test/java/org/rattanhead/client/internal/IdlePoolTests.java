package org.rattanhead.client.internal;

import java.util.stream.Stream;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Options;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that {@link IdlePool} is linearizable.
 */
public class IdlePoolTests {

	private static final int ITERATIONS = 10;

	private static final int INVOCATIONS = 300;

	private final IdlePool<Integer, Integer> pool = new IdlePool<>(2);

	@Operation
	public Integer acquire() {
		return this.pool.acquire(1).orElse(null);
	}

	@Operation
	public boolean release(@Param(gen = IntGen.class, conf = "1:3") int resource) {
		return this.pool.release(1, resource);
	}

	@Operation
	public int drain() {
		return this.pool.drain().size();
	}

	static Stream<Options<?, ?>> modes() {
		return Stream.of(
				new ModelCheckingOptions().iterations(ITERATIONS)
					.invocationsPerIteration(INVOCATIONS)
					.threads(2)
					.actorsPerThread(3),
				new StressOptions().iterations(ITERATIONS)
					.invocationsPerIteration(INVOCATIONS)
					.threads(3)
					.actorsPerThread(3));
	}

	@ParameterizedTest
	@MethodSource("modes")
	void isLinearizable(Options<?, ?> options) {
		options.check(getClass());
	}

}
