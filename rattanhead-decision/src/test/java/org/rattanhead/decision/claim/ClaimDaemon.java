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
import org.rattanhead.decision.edge.RefuseCaller;
import org.rattanhead.decision.edge.SendClaimOrder;
import org.rattanhead.decision.edge.SendOrder;
import org.rattanhead.decision.edge.VerdictReceived;
import org.rattanhead.decision.edge.WriteAnswer;
import org.rattanhead.decision.placement.PlacementPolicies;

/**
 * One daemon of a {@link ClaimWorld}: its edge and its claims, without threads.
 */
final class ClaimDaemon {

	private final String name;

	private final ClaimWorld world;

	private final List<Runnable> delayed = new ArrayList<>();

	private EdgeDecider edge;

	private List<ClaimDecider> claims;

	private int boots;

	private long pausedUntilNanos;

	ClaimDaemon(String name, ClaimWorld world) {
		this.name = name;
		this.world = world;
	}

	String name() {
		return this.name;
	}

	int boots() {
		return this.boots;
	}

	void start(List<Host> members) {
		this.boots++;
		this.pausedUntilNanos = 0;
		this.delayed.clear();
		this.edge = new EdgeDecider(PlacementPolicies.leastWork(), new Random(this.boots));
		this.claims = new ArrayList<>();
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			this.claims.add(new ClaimDecider(100));
		}
		onEdge(this.boots, new EdgeCatalogueChanged(Fixtures.view()));
		members(members);
	}

	void members(List<Host> members) {
		onEdge(this.boots, new EdgeMembersChanged(members, Fixtures.noLeavingUpstreams()));
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			boolean writer = ClaimPlacement.writer(shard, members)
				.filter((host) -> host.name().equals(this.name))
				.isPresent();
			onClaims(this.boots, shard, new ClaimWriterChanged(writer));
		}
	}

	void peerLost(String host) {
		onEdge(this.boots, new PeerLost(host));
	}

	void pauseUntil(long nanos) {
		this.pausedUntilNanos = nanos;
	}

	void tick() {
		if (this.world.nowNanos() >= this.pausedUntilNanos) {
			List<Runnable> due = List.copyOf(this.delayed);
			this.delayed.clear();
			due.forEach(Runnable::run);
			onEdge(this.boots, new EdgeTick());
			for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
				onClaims(this.boots, shard, new ClaimTick());
			}
		}
	}

	void onEdge(int forBoots, EdgeEvent event) {
		whenRunning(forBoots,
				() -> this.edge.decide(event, this.world.nowNanos()).forEach((command) -> edgeCommand(command)));
	}

	void onClaims(int forBoots, int shard, ClaimEvent event) {
		whenRunning(forBoots,
				() -> this.claims.get(shard)
					.decide(event, this.world.nowNanos())
					.forEach((command) -> claimCommand(shard, command)));
	}

	private void whenRunning(int forBoots, Runnable action) {
		if (forBoots != this.boots) {
			return;
		}
		if (this.world.nowNanos() < this.pausedUntilNanos) {
			this.delayed.add(action);
		}
		else {
			action.run();
		}
	}

	private void edgeCommand(EdgeCommand command) {
		if (command instanceof SendClaimOrder send) {
			int shard = ClaimPlacement.shard(send.order().key());
			this.world.send(send.toHost(), (writer) -> writer.onClaims(writer.boots(), shard,
					new ClaimOrderReceived(this.name, send.order())));
		}
		else if (command instanceof SendOrder send && send.order() instanceof SubmitWork submit) {
			this.world.submitted(this, send.toHost(), submit);
		}
		else if (command instanceof RefuseCaller refusal) {
			this.world.refused(refusal);
		}
		else if (command instanceof WriteAnswer answer) {
			this.world.answered(answer);
		}
	}

	private void claimCommand(int shard, ClaimCommand command) {
		if (command instanceof AppendClaims append) {
			this.world.append(this, shard, append);
		}
		else if (command instanceof ReadClaims read) {
			this.world.read(this, shard, read);
		}
		else if (command instanceof SendVerdict verdict) {
			String writer = this.name;
			this.world.send(verdict.toHost(), (edgeDaemon) -> edgeDaemon.onEdge(edgeDaemon.boots(),
					new VerdictReceived(writer, verdict.verdict())));
		}
	}

}
