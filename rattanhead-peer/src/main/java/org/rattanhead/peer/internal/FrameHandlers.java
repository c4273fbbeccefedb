package org.rattanhead.peer.internal;

import java.util.EnumMap;
import java.util.Map;

import org.rattanhead.messages.PeerFrame;
import org.rattanhead.peer.PeerListener;

/**
 * Creates the handlers that decode frames and pass them to the listener.
 */
final class FrameHandlers {

	private FrameHandlers() {
	}

	static Map<PeerFrame.BodyCase, FrameHandler> of(PeerListener listener) {
		Map<PeerFrame.BodyCase, FrameHandler> handlers = new EnumMap<>(PeerFrame.BodyCase.class);
		FrameHandler order = (host, frame) -> listener.onOrder(host, OrderCodec.decode(frame, System.nanoTime()));
		FrameHandler signal = (host, frame) -> listener.onSignal(host, SignalCodec.decode(frame));
		handlers.put(PeerFrame.BodyCase.SUBMIT, order);
		handlers.put(PeerFrame.BodyCase.CANCEL, order);
		handlers.put(PeerFrame.BodyCase.STARTED, signal);
		handlers.put(PeerFrame.BodyCase.CHUNK, signal);
		handlers.put(PeerFrame.BodyCase.ENDED, signal);
		handlers.put(PeerFrame.BodyCase.FAILED, signal);
		FrameHandler claim = (host, frame) -> listener.onClaimOrder(host, ClaimCodec.decode(frame, System.nanoTime()));
		handlers.put(PeerFrame.BodyCase.CLAIM_ASK, claim);
		handlers.put(PeerFrame.BodyCase.CLAIM_RELEASE, claim);
		handlers.put(PeerFrame.BodyCase.CLAIM_REPORT, claim);
		handlers.put(PeerFrame.BodyCase.CLAIM_REPLY,
				(host, frame) -> listener.onVerdict(host, ClaimCodec.decode(frame.getClaimReply())));
		handlers.put(PeerFrame.BodyCase.DIGESTS, (host, frame) -> {
			listener.onDigests(host, DigestCodec.decode(frame));
			return true;
		});
		handlers.put(PeerFrame.BodyCase.GOODBYE, (host, frame) -> {
			listener.onGoodbye(host);
			return true;
		});
		return handlers;
	}

}
