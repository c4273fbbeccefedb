package org.rattanhead.peer.internal;

import org.rattanhead.messages.PeerFrame;

/**
 * Handles the frames of one type.
 */
@FunctionalInterface
interface FrameHandler {

	/**
	 * Handles a frame.
	 * @param host the daemon that sent it
	 * @param frame the frame
	 * @return false if the frame cannot be accepted now
	 */
	boolean handle(String host, PeerFrame frame);

}
