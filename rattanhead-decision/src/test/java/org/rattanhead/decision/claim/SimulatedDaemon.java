package org.rattanhead.decision.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.rattanhead.core.host.Host;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.decision.Fixtures;
import org.rattanhead.decision.edge.EdgeCatalogueChanged;
import org.rattanhead.decision.edge.EdgeCommand;
import org.rattanhead.decision.edge.EdgeDecider;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.EdgeMembersChanged;
import org.rattanhead.decision.edge.EdgeTick;
import org.rattanhead.decision.edge.PeerLost;
import org.rattanhead.decision.edge.SendClaimOrder;
import org.rattanhead.decision.edge.SendOrder;
import org.rattanhead.decision.edge.SendProblem;
import org.rattanhead.decision.edge.VerdictReceived;
import org.rattanhead.decision.edge.WriteAnswer;
import org.rattanhead.decision.placement.PlacementPolicies;

/**
 * One daemon of a {@link ClaimSimulation}: its edge decider and its claim deciders,
 * without threads.
 */
final class SimulatedDaemon {

	private final String name;

	private final ClaimSimulation simulation;

	private final List<Runnable> delayed = new ArrayList<>();

	private EdgeDecider edge;

	private List<ClaimDecider> claims;

	private int incarnation;

	private long pausedUntilNanos;

	SimulatedDaemon(String name, ClaimSimulation simulation) {
		this.name = name;
		this.simulation = simulation;
	}

	String name() {
		return this.name;
	}

	int incarnation() {
		return this.incarnation;
	}

	void start(List<Host> members) {
		this.incarnation++;
		this.pausedUntilNanos = 0;
		this.delayed.clear();
		this.edge = new EdgeDecider(PlacementPolicies.leastWork(), new Random(this.incarnation));
		this.claims = new ArrayList<>();
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			this.claims.add(new ClaimDecider(100));
		}
		onEdge(this.incarnation, new EdgeCatalogueChanged(Fixtures.view()));
		members(members);
	}

	void members(List<Host> members) {
		onEdge(this.incarnation, new EdgeMembersChanged(members, Fixtures.noLeavingUpstreams()));
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			boolean writer = ClaimPlacement.writer(shard, members)
				.filter((host) -> host.name().equals(this.name))
				.isPresent();
			onClaims(this.incarnation, shard, new ClaimWriterChanged(writer));
		}
	}

	void peerLost(String host) {
		onEdge(this.incarnation, new PeerLost(host));
	}

	void pauseUntil(long nanos) {
		this.pausedUntilNanos = nanos;
	}

	void tick() {
		if (this.simulation.nowNanos() >= this.pausedUntilNanos) {
			List<Runnable> resumed = List.copyOf(this.delayed);
			this.delayed.clear();
			resumed.forEach(Runnable::run);
			onEdge(this.incarnation, new EdgeTick());
			for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
				onClaims(this.incarnation, shard, new ClaimTick());
			}
		}
	}

	void onEdge(int forIncarnation, EdgeEvent event) {
		whenRunning(forIncarnation,
				() -> this.edge.decide(event, this.simulation.nowNanos()).forEach((command) -> edgeCommand(command)));
	}

	void onClaims(int forIncarnation, int shard, ClaimEvent event) {
		whenRunning(forIncarnation,
				() -> this.claims.get(shard)
					.decide(event, this.simulation.nowNanos())
					.forEach((command) -> claimCommand(shard, command)));
	}

	private void whenRunning(int forIncarnation, Runnable action) {
		if (forIncarnation != this.incarnation) {
			return;
		}
		if (this.simulation.nowNanos() < this.pausedUntilNanos) {
			this.delayed.add(action);
		}
		else {
			action.run();
		}
	}

	private void edgeCommand(EdgeCommand command) {
		if (command instanceof SendClaimOrder send) {
			int shard = ClaimPlacement.shard(send.order().key());
			this.simulation.send(send.toHost(), (writer) -> writer.onClaims(writer.incarnation(), shard,
					new ClaimOrderReceived(this.name, send.order())));
		}
		else if (command instanceof SendOrder send && send.order() instanceof SubmitWork submit) {
			this.simulation.submitted(this, send.toHost(), submit);
		}
		else if (command instanceof SendProblem refusal) {
			this.simulation.refused(refusal);
		}
		else if (command instanceof WriteAnswer answer) {
			this.simulation.answered(answer);
		}
	}

	private void claimCommand(int shard, ClaimCommand command) {
		if (command instanceof AppendClaims append) {
			this.simulation.append(this, shard, append);
		}
		else if (command instanceof ReadClaims read) {
			this.simulation.read(this, shard, read);
		}
		else if (command instanceof SendVerdict verdict) {
			String writer = this.name;
			this.simulation.send(verdict.toHost(), (edgeDaemon) -> edgeDaemon.onEdge(edgeDaemon.incarnation(),
					new VerdictReceived(writer, verdict.verdict())));
		}
	}

}
