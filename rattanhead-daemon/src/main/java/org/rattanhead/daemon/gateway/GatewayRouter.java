package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.AbortAttempt;
import org.rattanhead.decision.forward.AbortReply;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.CallInstance;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.DeleteSuspect;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.ForwardCommand;
import org.rattanhead.decision.forward.ForwardDrained;
import org.rattanhead.decision.forward.GrantBytes;
import org.rattanhead.decision.forward.LogDecision;
import org.rattanhead.decision.forward.ProbeInstance;
import org.rattanhead.decision.forward.PublishCrashes;
import org.rattanhead.decision.forward.PublishHeartbeat;
import org.rattanhead.decision.forward.PublishLimits;
import org.rattanhead.decision.forward.PublishLoadEnded;
import org.rattanhead.decision.forward.PublishLoadStarted;
import org.rattanhead.decision.forward.PublishNotice;
import org.rattanhead.decision.forward.PublishReach;
import org.rattanhead.decision.forward.RefuseRequest;
import org.rattanhead.decision.forward.ReleaseTicket;
import org.rattanhead.decision.forward.ReportBalance;
import org.rattanhead.decision.forward.ReserveTicket;
import org.rattanhead.decision.forward.StoreSuspect;
import org.rattanhead.http.forward.ForwardReplyWriter;
import org.rattanhead.platform.keyed.RecordWriter;
import org.rattanhead.upstream.forward.ForwardCallDuty;

/**
 * Dispatches the commands of the forwarding decisions to the components that execute
 * them. A command that fails does not keep the others from being executed.
 */
final class GatewayRouter {

	private static final Logger LOGGER = LogManager.getLogger(GatewayRouter.class);

	private final HandlerTable<ForwardCommand, Boolean> handlers = new HandlerTable<>();

	private final ForwardReplyWriter replies;

	private final DecisionLog log = new DecisionLog();

	GatewayRouter(ForwardReplyWriter replies, ForwardCallDuty calls, MeshDuty mesh, GatewayMetrics metrics,
			RecordWriter records, Consumer<Boolean> onReach, Runnable onDrained) {
		this.replies = replies;
		this.handlers.on(CallInstance.class, (command, now) -> done(() -> calls.call(command)))
			.on(AbortAttempt.class, (command, now) -> done(() -> calls.abort(command)))
			.on(GrantBytes.class, (command, now) -> done(() -> calls.grant(command)))
			.on(ReserveTicket.class, (command, now) -> done(() -> calls.reserve(command)))
			.on(ReleaseTicket.class, (command, now) -> done(() -> calls.release(command)))
			.on(BeginReply.class, (command, now) -> done(() -> replies.begin(command)))
			.on(ContinueReply.class, (command, now) -> done(() -> replies.write(command)))
			.on(FinishReply.class, (command, now) -> done(() -> replies.finish(command)))
			.on(AbortReply.class, (command, now) -> done(() -> replies.abort(command)))
			.on(RefuseRequest.class, (command, now) -> done(() -> replies.refuse(command)))
			.on(PublishLoadStarted.class, (command, now) -> done(() -> mesh.offer(new SendLoadStarted(command))))
			.on(PublishLoadEnded.class, (command, now) -> done(() -> mesh.offer(new SendLoadEnded(command))))
			.on(PublishHeartbeat.class, (command, now) -> done(() -> mesh.offer(new SendHeartbeat(command))))
			.on(PublishCrashes.class, (command, now) -> done(() -> mesh.offer(new SendCrashes(command))))
			.on(PublishLimits.class, (command, now) -> done(() -> mesh.offer(new SendLimits(command))))
			.on(PublishNotice.class, (command, now) -> done(() -> mesh.offer(new SendNotice(command))))
			.on(StoreSuspect.class,
					(command, now) -> done(
							() -> records.put(SuspectRecordCodec.key(command.suspect()), SuspectRecordCodec.BLOCKED)))
			.on(DeleteSuspect.class,
					(command, now) -> done(() -> records.delete(SuspectRecordCodec.key(command.suspect()))))
			.on(LogDecision.class, (command, now) -> done(() -> {
				metrics.count(command);
				this.log.write(command, now);
			}))
			.on(ProbeInstance.class, (command, now) -> done(() -> calls.probe(command)))
			.on(PublishReach.class, (command, now) -> done(() -> onReach.accept(command.stranded())))
			.on(ReportBalance.class, (command, now) -> done(() -> metrics.balance(command)))
			.on(ForwardDrained.class, (command, now) -> done(onDrained))
			.covering(ForwardCommand.class);
	}

	void route(List<ForwardCommand> commands, long nowNanos) {
		commands.forEach((command) -> route(command, nowNanos));
	}

	private void route(ForwardCommand command, long nowNanos) {
		try {
			this.handlers.handle(command, nowNanos);
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("daemon: {} failed; the other commands are executed", command.getClass().getSimpleName(), ex);
			abortIncompleteReply(command);
		}
	}

	/**
	 * Aborts the reply that a failed command leaves incomplete, so that what follows
	 * cannot make it look complete.
	 * @param failed the command
	 */
	private void abortIncompleteReply(ForwardCommand failed) {
		RequestId request = (failed instanceof BeginReply begin) ? begin.request()
				: (failed instanceof ContinueReply part) ? part.request() : null;
		if (request != null) {
			this.replies.abort(new AbortReply(request));
		}
	}

	private static boolean done(Runnable action) {
		action.run();
		return true;
	}

}
