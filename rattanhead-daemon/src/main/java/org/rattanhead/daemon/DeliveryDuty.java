package org.rattanhead.daemon;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.edge.AbortAnswer;
import org.rattanhead.decision.edge.CallerDisconnected;
import org.rattanhead.decision.edge.EdgeCommand;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.EndAnswer;
import org.rattanhead.decision.edge.SendProblem;
import org.rattanhead.decision.edge.StartAnswer;
import org.rattanhead.decision.edge.WriteAnswer;
import org.rattanhead.http.AnswerWriter;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The duty that writes answers to the connections of callers. An answer is aborted if the
 * ring has no room for its next chunk.
 */
final class DeliveryDuty implements AutoCloseable {

	private static final int RING_SLOTS = 32_768;

	private final Duty<EdgeCommand> duty;

	private final EventSink<EdgeEvent> edge;

	DeliveryDuty(AnswerWriter answers, EventSink<EdgeEvent> edge) {
		this.edge = edge;
		HandlerTable<EdgeCommand, Boolean> handlers = new HandlerTable<EdgeCommand, Boolean>()
			.on(StartAnswer.class,
					(command,
							now) -> Actions.done(() -> answers.start(command.request(), command.upstream(),
									command.status(), command.contentType())))
			.on(WriteAnswer.class,
					(command, now) -> Actions.done(() -> answers.write(command.request(), command.bytes())))
			.on(EndAnswer.class, (command, now) -> Actions.done(() -> answers.end(command.request())))
			.on(SendProblem.class,
					(command, now) -> Actions.done(() -> answers.refuse(command.request(), command.problem())))
			.on(AbortAnswer.class,
					(command, now) -> Actions.done(() -> answers.abort(command.request(), command.problem())));
		this.duty = new Duty<>("delivery", RING_SLOTS, System::nanoTime, handlers::handle);
	}

	void deliver(EdgeCommand command) {
		this.duty.offer(command, Urgency.CONTROL);
	}

	void write(WriteAnswer command) {
		if (!this.duty.offer(command, Urgency.STREAM)) {
			abort(command.request());
		}
	}

	Duty<?> duty() {
		return this.duty;
	}

	private void abort(RequestId request) {
		this.edge.offer(new CallerDisconnected(request), Urgency.CONTROL);
		this.duty.offer(
				new AbortAnswer(request,
						Problem.failed(ProblemKind.OVERLOADED, "The daemon could not pass the answer on in time.")),
				Urgency.CONTROL);
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
