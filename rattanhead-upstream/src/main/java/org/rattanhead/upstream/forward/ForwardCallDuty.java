package org.rattanhead.upstream.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.ConnectPolicy;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.decision.forward.AbortAttempt;
import org.rattanhead.decision.forward.AttemptFailed;
import org.rattanhead.decision.forward.CallInstance;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.GrantBytes;
import org.rattanhead.decision.forward.InstanceNoticed;
import org.rattanhead.decision.forward.InstanceProbed;
import org.rattanhead.decision.forward.ProbeInstance;
import org.rattanhead.decision.forward.ReleaseTicket;
import org.rattanhead.decision.forward.ReserveTicket;
import org.rattanhead.decision.forward.TicketOutcome;
import org.rattanhead.decision.forward.TicketReplied;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The duty that calls instances. Answers go to the ring of the forwarding decisions.
 */
public final class ForwardCallDuty implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(ForwardCallDuty.class);

	private static final int RING_SLOTS = 4_096;

	/**
	 * Only the head of a reply to a reservation order is used. Orders are sent for many
	 * prompts at once.
	 */
	private static final long MAX_ORDER_REPLY_BYTES = 64 * 1024;

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int BAD_REQUEST = 400;

	private final HttpClient caller;

	private final CallCodec codec;

	private final EventSink<ForwardEvent> decisions;

	private final ConcurrentMap<AttemptId, AttemptCall> calls = new ConcurrentHashMap<>();

	private final Duty<ForwardTask> duty;

	/**
	 * Starts the duty.
	 * @param caller makes the calls
	 * @param codec encodes the calls and decodes the answers
	 * @param decisions the ring of the forwarding decisions
	 */
	public ForwardCallDuty(HttpClient caller, CallCodec codec, EventSink<ForwardEvent> decisions) {
		this(caller, codec, decisions, RING_SLOTS);
	}

	ForwardCallDuty(HttpClient caller, CallCodec codec, EventSink<ForwardEvent> decisions, int ringSlots) {
		this.caller = caller;
		this.codec = codec;
		this.decisions = decisions;
		HandlerTable<ForwardTask, Boolean> handlers = new HandlerTable<ForwardTask, Boolean>()
			.on(StartForward.class, (task, now) -> start(task.command(), task.call()))
			.on(UpdateReservation.class, (task, now) -> sendReservation(task))
			.on(StartProbe.class, (task, now) -> startProbe(task.command()))
			.covering(ForwardTask.class);
		this.duty = new Duty<>("instance-calls", ringSlots, System::nanoTime, handlers::handle);
	}

	/**
	 * Calls an instance. If the ring has no room for new work, the attempt is reported to
	 * the decisions as not sent.
	 * @param command the call
	 */
	public void call(CallInstance command) {
		AttemptCall call = new AttemptCall();
		this.calls.put(command.call().attempt(), call);
		if (!this.duty.offer(new StartForward(command, call), Urgency.NEW_WORK)) {
			this.calls.remove(command.call().attempt());
			LOGGER.warn("upstream: ring has no room, instance {} not called; the request is reported as not sent",
					command.call().instance().id());
			this.decisions.offer(new AttemptFailed(command.call().attempt(), AttemptFault.NOT_SENT,
					"the daemon is too busy to call the instance"), Urgency.COMPLETION);
		}
	}

	/**
	 * Aborts a call. A call that has not been started is not made.
	 * @param command the call
	 */
	public void abort(AbortAttempt command) {
		AttemptCall call = this.calls.remove(command.attempt());
		if (call != null) {
			call.abort();
		}
	}

	/**
	 * Allows a call to receive more of its answer.
	 * @param command the call and the number of bytes
	 */
	public void grant(GrantBytes command) {
		AttemptCall call = this.calls.get(command.attempt());
		if (call != null) {
			call.grant(command.bytes());
		}
	}

	/**
	 * Reserves memory, or renews the reservation.
	 * @param command the reservation
	 */
	public void reserve(ReserveTicket command) {
		this.duty.offer(new UpdateReservation(command.ticket(),
				this.codec.reserve(command.ticket(), command.holdMillis()), false), Urgency.CONTROL);
	}

	/**
	 * Releases reserved memory.
	 * @param command the reservation
	 */
	public void release(ReleaseTicket command) {
		this.duty.offer(new UpdateReservation(command.ticket(), this.codec.release(command.ticket()), true),
				Urgency.CONTROL);
	}

	/**
	 * Probes an instance. A probe for which the ring has no room counts as failed.
	 * @param command the probe
	 */
	public void probe(ProbeInstance command) {
		if (!this.duty.offer(new StartProbe(command), Urgency.CONTROL)) {
			this.decisions.offer(new InstanceProbed(command.instance().id(), false), Urgency.COMPLETION);
		}
	}

	/**
	 * Returns the duty, for its metrics.
	 * @return the duty
	 */
	public Duty<?> duty() {
		return this.duty;
	}

	private boolean start(CallInstance command, AttemptCall call) {
		if (call.aborted()) {
			return false;
		}
		AttemptId attempt = command.call().attempt();
		ForwardObserver observer = new ForwardObserver(command.call(), this.codec, this.decisions,
				() -> this.calls.remove(attempt, call));
		ConnectPolicy policy = new ConnectPolicy(command.call().freshConnection(), command.connectMillis());
		Optional<HttpCall> encoded = encode(command.call(), observer);
		encoded.ifPresent((httpCall) -> call.started(this.caller.start(httpCall, observer, policy)));
		return encoded.isPresent();
	}

	private boolean startProbe(ProbeInstance command) {
		ConnectPolicy policy = new ConnectPolicy(true, command.timeoutMillis());
		this.caller.start(this.codec.probe(command.instance(), command.timeoutMillis()),
				new ProbeObserver(command.instance().id(), this.decisions), policy);
		return true;
	}

	private Optional<HttpCall> encode(ForwardCall call, ForwardObserver observer) {
		try {
			return Optional.of(this.codec.encode(call));
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("upstream: a request to instance {} cannot be encoded", call.instance().id(), ex);
			observer.onFailure(CallFailure.NOT_SENT, "the request cannot be encoded: " + ex);
			return Optional.empty();
		}
	}

	private boolean sendReservation(UpdateReservation task) {
		this.caller.call(task.call(), MAX_ORDER_REPLY_BYTES).whenComplete((reply, failure) -> {
			TicketOutcome outcome = (reply != null) ? outcome(reply, task.release()) : TicketOutcome.UNKNOWN;
			if (outcome != TicketOutcome.GRANTED && outcome != TicketOutcome.RELEASED) {
				LOGGER.info("upstream: reservation order of ticket {} ended with {}; {}", task.ticket().name(), outcome,
						(reply != null) ? "status " + reply.status() : failure.getMessage());
			}
			if (reply != null) {
				offerNotice(task.ticket().instance(), reply.head());
			}
			this.decisions.offer(new TicketReplied(task.ticket(), outcome), Urgency.COMPLETION);
		});
		return true;
	}

	private void offerNotice(String instance, HttpHead head) {
		ServerNotice notice = this.codec.notice(head);
		if (!notice.equals(ServerNotice.NONE)) {
			this.decisions.offer(new InstanceNoticed(instance, OptionalLong.empty(), notice), Urgency.COMPLETION);
		}
	}

	private static TicketOutcome outcome(HttpReply reply, boolean release) {
		if (reply.status() == OK) {
			return release ? TicketOutcome.RELEASED : TicketOutcome.GRANTED;
		}
		if (reply.status() == CONFLICT || reply.status() == BAD_REQUEST) {
			return release ? TicketOutcome.RELEASED : TicketOutcome.REFUSED;
		}
		return TicketOutcome.UNKNOWN;
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
