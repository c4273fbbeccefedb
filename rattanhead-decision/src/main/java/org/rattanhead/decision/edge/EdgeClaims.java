package org.rattanhead.decision.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.claim.ReleaseClaim;
import org.rattanhead.core.claim.ReportAnswer;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Work;
import org.rattanhead.decision.Fleet;
import org.rattanhead.decision.claim.ClaimPlacement;

/**
 * The requests that wait for a verdict on their claim, and the recorded answers of those
 * that run under a claim. Owned by one duty.
 */
final class EdgeClaims {

	private final Map<RequestId, ClaimingRequest> waiting = new HashMap<>();

	private final Map<RequestId, AnswerRecorder> recorders = new HashMap<>();

	Optional<SendClaimOrder> requestClaim(Work work, String digest, Fleet fleet) {
		AcquireClaim order = new AcquireClaim(work.attempt().request(), keyOf(work), digest, work.deadlineNanos());
		return writer(order.key(), fleet).map((writer) -> {
			this.waiting.put(order.request(), new ClaimingRequest(work, order, writer));
			return new SendClaimOrder(writer, order);
		});
	}

	Optional<ClaimingRequest> find(RequestId request) {
		return Optional.ofNullable(this.waiting.get(request));
	}

	boolean empty() {
		return this.waiting.isEmpty();
	}

	Optional<ClaimingRequest> remove(RequestId request) {
		return Optional.ofNullable(this.waiting.remove(request));
	}

	List<EdgeCommand> resendToNewWriters(Fleet fleet) {
		List<EdgeCommand> orders = new ArrayList<>();
		for (ClaimingRequest claiming : List.copyOf(this.waiting.values())) {
			String writer = writer(claiming.order().key(), fleet).orElse(claiming.writer());
			if (!writer.equals(claiming.writer())) {
				this.waiting.put(claiming.order().request(), claiming.withWriter(writer));
				orders.add(new SendClaimOrder(writer, claiming.order()));
			}
		}
		return orders;
	}

	void startRecording(RequestId request, int status, String contentType) {
		this.recorders.put(request, new AnswerRecorder(status, contentType));
	}

	void recordChunk(RequestId request, Payload bytes) {
		this.recorders.computeIfPresent(request, (id, recorder) -> recorder.add(bytes) ? recorder : null);
	}

	Optional<SendClaimOrder> reportAnswer(Work work, Fleet fleet) {
		Optional<KeptAnswer> answer = Optional.ofNullable(this.recorders.remove(work.attempt().request()))
			.map(AnswerRecorder::answer);
		return answer.flatMap((kept) -> writer(keyOf(work), fleet).map(
				(writer) -> new SendClaimOrder(writer, new ReportAnswer(work.attempt().request(), keyOf(work), kept))));
	}

	Optional<SendClaimOrder> release(Work work, Fleet fleet) {
		this.recorders.remove(work.attempt().request());
		return writer(keyOf(work), fleet)
			.map((writer) -> new SendClaimOrder(writer, new ReleaseClaim(work.attempt().request(), keyOf(work))));
	}

	void discardAnswer(RequestId request) {
		this.recorders.remove(request);
	}

	private static Optional<String> writer(ClaimKey key, Fleet fleet) {
		return ClaimPlacement.writer(ClaimPlacement.shard(key), fleet.members()).map(Host::name);
	}

	private static ClaimKey keyOf(Work work) {
		return new ClaimKey(work.workspace(), work.idempotencyKey());
	}

}
