package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Another daemon read the stream.
 *
 * @param prior whether that daemon reads for this one rather than the reverse
 * @param news what it found
 */
record NewsHeard(boolean prior, StreamUpdate news) implements FollowEvent {
}
