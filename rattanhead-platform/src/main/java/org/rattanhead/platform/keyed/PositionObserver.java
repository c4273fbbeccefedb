package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;

/**
 * Observes how far a daemon has followed its streams, for example for metrics.
 */
@FunctionalInterface
public interface PositionObserver {

	/**
	 * Called when a read or a message confirmed or changed a position.
	 * @param stream the stream
	 * @param position the position
	 * @param source where it came from
	 */
	void onPosition(KeyedStream stream, StreamPosition position, PositionSource source);

}
