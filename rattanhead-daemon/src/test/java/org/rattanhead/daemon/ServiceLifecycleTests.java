package org.rattanhead.daemon;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceLifecycleTests {

	private static final long TIMEOUT_SECONDS = 5;

	private final List<String> steps = new CopyOnWriteArrayList<>();

	private final CountDownLatch starting = new CountDownLatch(1);

	private final CountDownLatch mayStart = new CountDownLatch(1);

	/** Guards against a shutdown that closes a service without draining it. */
	@ParameterizedTest
	@EnumSource
	void drainsServiceInAnyStageOfItsStart(Stage stage) throws Exception {
		ServiceLifecycle lifecycle = new ServiceLifecycle();
		if (stage == Stage.BEFORE_START) {
			lifecycle.shutDown();
		}
		CompletableFuture<Void> run = CompletableFuture.runAsync(() -> lifecycle.run(this::start));
		if (stage != Stage.BEFORE_START) {
			assertThat(this.starting.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
			CompletableFuture<Void> shutdown = CompletableFuture.runAsync(lifecycle::shutDown);
			this.mayStart.countDown();
			shutdown.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		run.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(this.steps)
			.isEqualTo((stage == Stage.BEFORE_START) ? List.of() : List.of("started", "drained", "closed"));
	}

	private DrainableService start() {
		this.starting.countDown();
		try {
			this.mayStart.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		this.steps.add("started");
		return new DrainableService() {

			@Override
			public void drain() {
				ServiceLifecycleTests.this.steps.add("drained");
			}

			@Override
			public void close() {
				ServiceLifecycleTests.this.steps.add("closed");
			}

		};
	}

	private enum Stage {

		BEFORE_START, DURING_START

	}

}
