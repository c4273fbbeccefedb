package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.rattanhead.core.Millis;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

/**
 * Gateways on a virtual clock that share a few {@link QueueingEngine}s and notify each
 * other of their work.
 */
final class RankedFleet implements EngineListener {

	private static final long STEP_MILLIS = 5;

	private static final long TICK_MILLIS = 20;

	private static final long HEARTBEAT_MILLIS = 700;

	private final VirtualSchedule schedule = new VirtualSchedule();

	private final List<ForwardDecider> gateways = new ArrayList<>();

	private final Map<String, QueueingEngine> engines = new HashMap<>();

	private final Map<RequestId, Integer> gatewayByRequest = new HashMap<>();

	private final Map<AttemptId, QueueingEngine> engineByAttempt = new HashMap<>();

	private final boolean workspacesExchanged;

	private final Set<RequestId> begun = new HashSet<>();

	private final Set<RequestId> served = new HashSet<>();

	RankedFleet(int gatewayCount, int engineCount, boolean workspacesExchanged, Configuration configuration) {
		this.workspacesExchanged = workspacesExchanged;
		List<UpstreamInstance> instances = ForwardRig.instances(engineCount, 0);
		instances.forEach((instance) -> this.engines.put(instance.address(),
				new QueueingEngine(this.schedule, this, this.engines)));
		for (int index = 0; index < gatewayCount; index++) {
			this.gateways.add(new ForwardDecider("g" + index, new ForwardLimits(0.2, 222, 10_000, 20_000, 17, 1),
					new Random(index)));
			handle(index, new ConfigurationApplied(configuration));
			handle(index, new InstancesChanged(instances));
			handle(index, new PeerCountChanged(gatewayCount));
		}
		advance(3_000);
	}

	/**
	 * Submits a prompt.
	 * @param gateway the index of the gateway that receives it
	 * @param prompt the prompt
	 * @param deadlineMillis the time that its caller waits, in milliseconds
	 * @return the id of the request
	 */
	RequestId submit(int gateway, OfferedPrompt prompt, long deadlineMillis) {
		RequestId id = new RequestId("g" + gateway + "-" + this.gatewayByRequest.size());
		this.gatewayByRequest.put(id, gateway);
		handle(gateway,
				new ForwardSubmitted(new ForwardRequest(id, "", "POST", "host", prompt.path() + "x",
						prompt.path() + "x", List.of(), Payload.of("body"), OptionalLong.of(deadlineMillis),
						Optional.of(prompt.key()), Optional.of(new TokenCounts(prompt.tokens(), 2_000)),
						OptionalLong.empty(), Optional.empty(), this.gatewayByRequest.size(), List.of())));
		return id;
	}

	void disconnect(RequestId id) {
		handle(this.gatewayByRequest.get(id), new ForwardCallerDisconnected(id));
	}

	void after(long millis, Runnable action) {
		this.schedule.after(millis, action);
	}

	void advance(long millis) {
		long endMillis = this.schedule.nowMillis() + millis;
		while (this.schedule.nowMillis() < endMillis) {
			this.schedule.advance(STEP_MILLIS);
			if (this.schedule.nowMillis() % TICK_MILLIS == 0) {
				handleAll(new ForwardTick());
			}
			if (this.schedule.nowMillis() % HEARTBEAT_MILLIS == 0) {
				handleAll(new HeartbeatDue());
			}
		}
	}

	boolean begun(RequestId id) {
		return this.begun.contains(id);
	}

	boolean served(RequestId id) {
		return this.served.contains(id);
	}

	@Override
	public void begun(ForwardCall call) {
		this.begun.add(call.attempt().request());
		int gateway = this.gatewayByRequest.get(call.attempt().request());
		handle(gateway,
				new AttemptAnswered(call.attempt(), new AnswerHead(200, List.of(), AnswerVerdict.RUN, true, true, "")));
		handle(gateway, new AttemptContinued(call.attempt(), Payload.of("id: 1\ndata: a\n\n")));
	}

	@Override
	public void finished(ForwardCall call) {
		this.served.add(call.attempt().request());
		handle(this.gatewayByRequest.get(call.attempt().request()), new AttemptFinished(call.attempt()));
	}

	private void handleAll(ForwardEvent event) {
		for (int index = 0; index < this.gateways.size(); index++) {
			handle(index, event);
		}
	}

	private void handle(int gateway, ForwardEvent event) {
		this.gateways.get(gateway)
			.decide(event, Millis.toNanos(this.schedule.nowMillis()))
			.forEach((command) -> execute(gateway, command));
	}

	private void execute(int gateway, ForwardCommand command) {
		String host = "g" + gateway;
		if (command instanceof CallInstance call) {
			QueueingEngine engine = this.engines.get(call.call().instance().address());
			this.engineByAttempt.put(call.call().attempt(), engine);
			engine.call(call.call());
		}
		else if (command instanceof AbortAttempt abort) {
			this.engineByAttempt.get(abort.attempt()).abort(abort.attempt());
		}
		else if (command instanceof ReserveTicket reserve) {
			handle(gateway, new TicketReplied(reserve.ticket(), TicketOutcome.GRANTED));
		}
		else if (command instanceof PublishHeartbeat heartbeat) {
			sendToOthers(gateway, new PeerHeartbeatReceived(host, exchanged(heartbeat.load()), heartbeat.crashes(),
					heartbeat.limits()));
		}
		else if (command instanceof PublishLoadStarted started) {
			sendToOthers(gateway, new PeerLoadStarted(host, exchanged(started.entries())));
		}
		else if (command instanceof PublishLoadEnded ended) {
			sendToOthers(gateway, new PeerLoadEnded(host, ended.keys()));
		}
	}

	private List<LoadEntry> exchanged(List<LoadEntry> entries) {
		return this.workspacesExchanged ? entries : entries.stream()
			.map((entry) -> new LoadEntry(entry.key(), entry.instance(), entry.memoryTokens(), entry.readMillis(),
					entry.gapMillis(), entry.worth(), entry.remainingMillis(), entry.deferred()))
			.toList();
	}

	private void sendToOthers(int sender, ForwardEvent event) {
		this.schedule.after(STEP_MILLIS, () -> {
			for (int index = 0; index < this.gateways.size(); index++) {
				if (index != sender) {
					handle(index, event);
				}
			}
		});
	}

}
