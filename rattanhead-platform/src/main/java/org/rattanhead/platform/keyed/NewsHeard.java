package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamNews;

/**
 * Another daemon read the stream.
 *
 * @param host its host
 * @param news what it found
 */
record NewsHeard(String host, StreamNews news) implements FollowEvent {
}
