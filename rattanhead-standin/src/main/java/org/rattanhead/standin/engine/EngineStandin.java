package org.rattanhead.standin.engine;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;
import org.rattanhead.standin.http.Reply;
import org.rattanhead.standin.http.StandinServer;

/**
 * A stand-in for a model engine with the OpenAI interface.
 */
public final class EngineStandin implements AutoCloseable {

	private static final int RING_SLOTS = 8_192;

	private static final long STEP_MILLIS = 2;

	private final EngineSimulator simulator;

	private final Duty<EngineEvent> duty;

	private final Ticker ticker;

	private final StandinServer server;

	/**
	 * Starts an engine in cold start.
	 * @param address where it listens; port 0 for any free port
	 * @param profile its capacity and timing
	 */
	public EngineStandin(InetSocketAddress address, EngineProfile profile) {
		this.simulator = new EngineSimulator(profile, System.nanoTime());
		HandlerTable<EngineEvent, Boolean> handlers = new HandlerTable<EngineEvent, Boolean>()
			.on(SequenceArrived.class, (event, now) -> {
				this.simulator.submit(event.request(), event.sink(), now);
				this.simulator.step(now);
				return true;
			})
			.on(SequenceCancelled.class, (event, now) -> {
				this.simulator.cancel(event.requestId());
				return true;
			})
			.on(StepDue.class, (event, now) -> {
				this.simulator.step(now);
				return true;
			})
			.on(FaultRequested.class, (event, now) -> {
				this.simulator.setFault(event.body(), now);
				return true;
			})
			.on(StateRequested.class, this::handleStateRequest)
			.covering(EngineEvent.class);
		this.duty = new Duty<>("engine-" + profile.name(), RING_SLOTS, System::nanoTime, handlers::handle);
		this.ticker = new Ticker("engine-ticker-" + profile.name());
		this.ticker.every(STEP_MILLIS, () -> this.duty.offer(new StepDue(), Urgency.STREAM));
		this.server = new StandinServer(address, new EngineRoutes(profile, this.duty));
	}

	/**
	 * Returns where the engine listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Sets a fault.
	 * @param fault the fault
	 * @param amount the number of answers or cancellations affected, or the duration in
	 * milliseconds
	 */
	public void setFault(EngineFault fault, long amount) {
		this.duty.offer(new FaultRequested(new FaultBody(fault, amount)), Urgency.CONTROL);
	}

	/**
	 * Returns the counters of the engine.
	 * @return the counters
	 */
	public EngineCounts counts() {
		CompletableFuture<EngineCounts> counts = new CompletableFuture<>();
		this.duty.offer(new StateRequested((state, now) -> {
			counts.complete(state.counts());
			return Reply.noAnswer();
		}, new CompletableFuture<>(), false), Urgency.CONTROL);
		return counts.join();
	}

	/**
	 * Returns the memory held for each request.
	 * @return the held memory, one entry for each request
	 */
	public List<HeldMemoryBody> heldMemory() {
		CompletableFuture<List<HeldMemoryBody>> memory = new CompletableFuture<>();
		this.duty.offer(new StateRequested((state, now) -> {
			memory.complete(state.heldMemory());
			return Reply.noAnswer();
		}, new CompletableFuture<>(), false), Urgency.CONTROL);
		return memory.join();
	}

	private boolean handleStateRequest(StateRequested event, long nowNanos) {
		boolean suspended = event.affectedBySilence() && this.simulator.unresponsive(nowNanos);
		return !suspended && event.reply().complete(event.operation().apply(this.simulator, nowNanos));
	}

	@Override
	public void close() {
		this.ticker.close();
		this.server.close();
		this.duty.close();
	}

}
