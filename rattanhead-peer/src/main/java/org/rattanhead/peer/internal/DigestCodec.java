package org.rattanhead.peer.internal;

import java.util.List;

import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.messages.Digest;
import org.rattanhead.messages.Digests;
import org.rattanhead.messages.PeerFrame;

/**
 * Encodes and decodes digests.
 */
public final class DigestCodec {

	private DigestCodec() {
	}

	/**
	 * Encodes digests.
	 * @param digests the digests
	 * @return the frame
	 */
	public static PeerFrame encode(List<UpstreamDigest> digests) {
		Digests.Builder all = Digests.newBuilder();
		digests.forEach((digest) -> all.addDigests(encode(digest)));
		return PeerFrame.newBuilder().setDigests(all).build();
	}

	/**
	 * Decodes digests.
	 * @param frame the frame
	 * @return the digests
	 */
	public static List<UpstreamDigest> decode(PeerFrame frame) {
		return frame.getDigests().getDigestsList().stream().map(DigestCodec::decode).toList();
	}

	private static Digest encode(UpstreamDigest digest) {
		return Digest.newBuilder()
			.setUpstream(digest.upstream())
			.setAccepting(digest.accepting())
			.setCold(digest.cold())
			.setRunning(digest.running())
			.setQueued(digest.queued())
			.setOutstandingTokens(digest.outstandingTokens())
			.setFreeTokens(digest.freeTokens())
			.build();
	}

	private static UpstreamDigest decode(Digest digest) {
		return new UpstreamDigest(digest.getUpstream(), digest.getAccepting(), digest.getCold(), digest.getRunning(),
				digest.getQueued(), digest.getOutstandingTokens(), digest.getFreeTokens());
	}

}
