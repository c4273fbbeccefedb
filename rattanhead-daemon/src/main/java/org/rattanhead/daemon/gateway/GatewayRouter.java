package org.rattanhead.daemon.gateway;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.decision.forward.AbortAttempt;
import org.rattanhead.decision.forward.AbortReply;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.CallInstance;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.ForwardCommand;
import org.rattanhead.decision.forward.ForwardDrained;
import org.rattanhead.decision.forward.LogDecision;
import org.rattanhead.decision.forward.PublishHeartbeat;
import org.rattanhead.decision.forward.PublishLoadEnded;
import org.rattanhead.decision.forward.PublishLoadStarted;
import org.rattanhead.decision.forward.RefuseRequest;
import org.rattanhead.decision.forward.ReleaseTicket;
import org.rattanhead.decision.forward.ReserveTicket;
import org.rattanhead.http.forward.ForwardReplies;
import org.rattanhead.upstream.forward.ForwardCallDuty;

/**
 * Hands the commands of the forwarding decisions to the parts that carry them out.
 */
final class GatewayRouter {

	private final HandlerTable<ForwardCommand, Boolean> handlers = new HandlerTable<>();

	private final DecisionLog log = new DecisionLog();

	GatewayRouter(ForwardReplies replies, ForwardCallDuty calls, MeshDuty mesh, GatewayMetrics metrics,
			Runnable onDrained) {
		this.handlers.on(CallInstance.class, (command, now) -> done(() -> calls.call(command)))
			.on(AbortAttempt.class, (command, now) -> done(() -> calls.abort(command)))
			.on(ReserveTicket.class, (command, now) -> done(() -> calls.reserve(command)))
			.on(ReleaseTicket.class, (command, now) -> done(() -> calls.release(command)))
			.on(BeginReply.class, (command, now) -> done(() -> replies.begin(command)))
			.on(ContinueReply.class, (command, now) -> done(() -> replies.proceed(command)))
			.on(FinishReply.class, (command, now) -> done(() -> replies.finish(command)))
			.on(AbortReply.class, (command, now) -> done(() -> replies.breakOff(command)))
			.on(RefuseRequest.class, (command, now) -> done(() -> replies.refuse(command)))
			.on(PublishLoadStarted.class, (command, now) -> done(() -> mesh.offer(new LoadToTell(command))))
			.on(PublishLoadEnded.class, (command, now) -> done(() -> mesh.offer(new LoadEndToTell(command))))
			.on(PublishHeartbeat.class, (command, now) -> done(() -> mesh.offer(new BeatToSend(command))))
			.on(LogDecision.class, (command, now) -> done(() -> {
				metrics.count(command);
				this.log.write(command, now);
			}))
			.on(ForwardDrained.class, (command, now) -> done(onDrained))
			.covering(ForwardCommand.class);
	}

	void route(ForwardCommand command, long nowNanos) {
		this.handlers.handle(command, nowNanos);
	}

	private static boolean done(Runnable action) {
		action.run();
		return true;
	}

}
