package org.rattanhead.bench;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.decision.CatalogueView;
import org.rattanhead.decision.edge.EdgeCatalogueChanged;
import org.rattanhead.decision.edge.EdgeCommand;
import org.rattanhead.decision.edge.EdgeDecider;
import org.rattanhead.decision.edge.EdgeMembersChanged;
import org.rattanhead.decision.edge.RequestSubmitted;
import org.rattanhead.decision.edge.SendOrder;
import org.rattanhead.decision.edge.SignalReceived;
import org.rattanhead.decision.placement.PlacementPolicies;

/**
 * Measures the time in which the edge admits, places and finishes one request.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class EdgeDecisionBenchmark {

	private static final int WORKSPACES = 5_400;

	private static final int REQUESTS = 8_192;

	private static final int DAEMONS = 30;

	/** The number of upstreams of the model. */
	@Param({ "10", "1000", "10000" })
	public int upstreams;

	private final CallerRequest[] requests = new CallerRequest[REQUESTS];

	private EdgeDecider decider;

	private int lastIndex;

	private long nowNanos;

	/**
	 * Creates an edge decider with catalogue and hosts, and the requests.
	 */
	@Setup(Level.Trial)
	public void createDecider() {
		this.decider = new EdgeDecider(PlacementPolicies.leastWork(), new Random(1));
		this.decider
			.decide(new EdgeCatalogueChanged(new CatalogueView(BenchFleet.catalogue(this.upstreams, WORKSPACES))), 0);
		this.decider.decide(new EdgeMembersChanged(BenchFleet.hosts(DAEMONS), Set.of()), 0);
		for (int index = 0; index < REQUESTS; index++) {
			this.requests[index] = BenchFleet.request(index, WORKSPACES);
		}
	}

	/**
	 * Admits, places and finishes one request.
	 * @return the commands of the last step
	 */
	@Benchmark
	public List<EdgeCommand> admitPlaceFinish() {
		this.lastIndex = (this.lastIndex + 1) % REQUESTS;
		this.nowNanos += TimeUnit.MICROSECONDS.toNanos(1);
		List<EdgeCommand> commands = this.decider.decide(new RequestSubmitted(this.requests[this.lastIndex]),
				this.nowNanos);
		SendOrder order = (SendOrder) commands.get(1);
		return this.decider.decide(new SignalReceived(order.toHost(), new WorkEnded(order.order().attempt())),
				this.nowNanos);
	}

}
