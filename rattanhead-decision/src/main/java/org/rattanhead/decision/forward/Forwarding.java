package org.rattanhead.decision.forward;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.decision.rank.HeldOrder;
import org.rattanhead.decision.rank.RequestRank;

/**
 * A request in progress.
 */
final class Forwarding {

	/** An instance that fails within this time failed as it began the answer. */
	private static final long BEGIN_NANOS = Millis.toNanos(250);

	private final ForwardRequest request;

	private final RequestPolicy policy;

	private final long startNanos;

	private final long deadlineNanos;

	private final ReplyRelay relay;

	private final Set<String> excluded = new HashSet<>();

	private final Set<String> called = new HashSet<>();

	private AnswerHead answerHead;

	private AttemptId attempt;

	private PlacementPlan plan;

	private List<LoadEntry> load = List.of();

	private ForwardStage stage = ForwardStage.SENT;

	private long timeoutAtNanos = Long.MAX_VALUE;

	private long sentNanos;

	private OptionalLong answerBeganNanos = OptionalLong.empty();

	private boolean answerGoesOn;

	private long firstDataMillis = -1;

	private int attempts;

	private int runs;

	private int extensions;

	Forwarding(ForwardRequest request, RequestPolicy policy, long nowNanos) {
		this.request = request;
		this.policy = policy;
		this.startNanos = nowNanos;
		long millis = Math.min(policy.route().timeoutMillis(),
				request.deadlineMillis().orElse(policy.route().timeoutMillis()));
		this.deadlineNanos = nowNanos + Millis.toNanos(millis);
		this.relay = new ReplyRelay(request.id());
	}

	AttemptId begin(PlacementPlan newPlan, List<LoadEntry> newLoad) {
		this.attempts++;
		this.extensions = 0;
		this.attempt = new AttemptId(this.request.id(), this.attempts);
		this.plan = newPlan;
		this.load = newLoad;
		return this.attempt;
	}

	AttemptId nextAttempt() {
		return new AttemptId(this.request.id(), this.attempts + 1);
	}

	void hold() {
		this.attempt = null;
		this.load = List.of();
		this.stage = ForwardStage.HELD;
		this.timeoutAtNanos = Long.MAX_VALUE;
	}

	void stage(ForwardStage newStage, long newTimeoutAtNanos) {
		this.stage = newStage;
		this.timeoutAtNanos = newTimeoutAtNanos;
	}

	/**
	 * Counts an extension of the timeout of the current attempt.
	 * @param maxExtensions the extensions allowed
	 * @return true if this one is allowed
	 */
	boolean extend(int maxExtensions) {
		this.extensions++;
		return this.extensions <= maxExtensions;
	}

	/**
	 * Returns whether the current attempt is admitted after all other work, so that its
	 * waiting time indicates nothing about the instance.
	 * @return true if it is
	 */
	boolean deferred() {
		return this.load.stream().anyMatch(LoadEntry::deferred);
	}

	void markSent(long nowNanos) {
		this.sentNanos = nowNanos;
		this.answerBeganNanos = OptionalLong.empty();
		this.answerGoesOn = false;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	/**
	 * Records that data of the current attempt arrived.
	 * @param nowNanos the time on the monotonic clock
	 */
	void markDataReceived(long nowNanos) {
		if (this.answerBeganNanos.isEmpty() && this.plan.helpers().isEmpty() && !deferred()) {
			this.plan.primary()
				.responseTimes()
				.firstData(Millis.ofNanos(nowNanos - this.sentNanos), this.plan.firstTokenMillis(), nowNanos);
		}
		this.answerBeganNanos = OptionalLong.of(this.answerBeganNanos.orElse(nowNanos));
		this.firstDataMillis = (this.firstDataMillis < 0) ? elapsedMillis(nowNanos) : this.firstDataMillis;
	}

	/**
	 * Returns when the first data of the current attempt arrived.
	 * @return the time on the monotonic clock, empty if none has arrived
	 */
	OptionalLong answerBeganNanos() {
		return this.answerBeganNanos;
	}

	/**
	 * Returns whether the instance went on with the answer of the current attempt, so
	 * that beginning it did no harm.
	 * @return true if it did
	 */
	boolean answerGoesOn() {
		return this.answerGoesOn;
	}

	/**
	 * Notes that the answer of the current attempt goes on, if it does.
	 * @param nowNanos the time on the monotonic clock
	 * @return true when this is first found for the attempt
	 */
	boolean findAnswerGoingOn(long nowNanos) {
		if (this.answerGoesOn || this.answerBeganNanos.isEmpty()
				|| nowNanos - this.answerBeganNanos.getAsLong() < BEGIN_NANOS) {
			return false;
		}
		this.answerGoesOn = true;
		return true;
	}

	/**
	 * Returns the time from the arrival of the request to the first data of an answer.
	 * @return the time in milliseconds, -1 if none has arrived
	 */
	long firstDataMillis() {
		return this.firstDataMillis;
	}

	/**
	 * Records that an instance is called for this request.
	 * @param instance the id of the instance
	 * @return true if it was called for it before
	 */
	boolean recordCall(String instance) {
		return !this.called.add(instance);
	}

	void exclude(String instance) {
		this.excluded.add(instance);
	}

	/**
	 * Counts the current attempt as possibly run.
	 */
	void mayHaveRun() {
		this.runs++;
	}

	/**
	 * Undoes {@link #mayHaveRun()} for an attempt that did not run.
	 */
	void didNotRun() {
		this.runs--;
	}

	ForwardRequest request() {
		return this.request;
	}

	Route route() {
		return this.policy.route();
	}

	ServiceLimits service() {
		return this.policy.service();
	}

	RequestPolicy policy() {
		return this.policy;
	}

	RequestRank rank() {
		return this.policy.rank();
	}

	/**
	 * Estimates what the caller loses if the request fails.
	 * @return the worth, in the unit of {@link PlacementQuery#worth()}
	 */
	double worth() {
		return rank().weight()
				* PlacementQuery.worth(this.request.tokens().map((tokens) -> tokens.promptTokens()).orElse(0L));
	}

	/**
	 * Returns the head of the answer to the current attempt.
	 * @return the head, null if none has arrived
	 */
	AnswerHead answerHead() {
		return this.answerHead;
	}

	void answerHead(AnswerHead head) {
		this.answerHead = head;
	}

	ReplyRelay relay() {
		return this.relay;
	}

	Set<String> excluded() {
		return this.excluded;
	}

	AttemptId attempt() {
		return this.attempt;
	}

	PlacementPlan plan() {
		return this.plan;
	}

	List<LoadEntry> load() {
		return this.load;
	}

	ForwardStage stage() {
		return this.stage;
	}

	int attempts() {
		return this.attempts;
	}

	int runs() {
		return this.runs;
	}

	boolean overdue(long nowNanos) {
		return nowNanos >= this.timeoutAtNanos;
	}

	long elapsedMillis(long nowNanos) {
		return Millis.ofNanos(nowNanos - this.startNanos);
	}

	HeldOrder heldOrder(boolean yielding) {
		return new HeldOrder(rank().position(), yielding, this.deadlineNanos);
	}

	long remainingMillis(long nowNanos) {
		return Millis.ofNanos(this.deadlineNanos - nowNanos);
	}

}
