package org.rattanhead.decision.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.request.Work;
import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * The outstanding work of each upstream: what this daemon sent to it, and what its lease
 * holder published. Owned by one duty.
 */
final class OutstandingWork {

	private final Map<String, Long> ownTokens = new HashMap<>();

	private final Map<String, Integer> ownRequests = new HashMap<>();

	private final Map<String, PublishedDigest> digests = new HashMap<>();

	void sent(String upstream, Work work) {
		this.ownTokens.merge(upstream, cost(work), Long::sum);
		this.ownRequests.merge(upstream, 1, Integer::sum);
	}

	void ended(String upstream, Work work) {
		this.ownTokens.computeIfPresent(upstream, (name, tokens) -> (tokens > cost(work)) ? tokens - cost(work) : null);
		this.ownRequests.computeIfPresent(upstream, (name, count) -> (count > 1) ? count - 1 : null);
	}

	void updateDigests(String holder, List<UpstreamDigest> newDigests) {
		newDigests.forEach((digest) -> this.digests.put(digest.upstream(), new PublishedDigest(holder, digest)));
	}

	void removeDigest(String upstream) {
		this.digests.remove(upstream);
	}

	boolean accepting(String upstream, String holder) {
		return digest(upstream, holder).map(UpstreamDigest::accepting).orElse(true);
	}

	long tokens(String upstream, String holder) {
		long own = this.ownTokens.getOrDefault(upstream, 0L);
		return digest(upstream, holder).map((digest) -> Math.max(own, digest.outstandingTokens())).orElse(own);
	}

	int requests(String upstream, String holder) {
		int own = this.ownRequests.getOrDefault(upstream, 0);
		return digest(upstream, holder).map((digest) -> Math.max(own, digest.running() + digest.queued())).orElse(own);
	}

	private Optional<UpstreamDigest> digest(String upstream, String holder) {
		PublishedDigest published = this.digests.get(upstream);
		boolean current = published != null && published.holder().equals(holder);
		return current ? Optional.of(published.digest()) : Optional.empty();
	}

	private static long cost(Work work) {
		return work.memoryTokens();
	}

}
