package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamNews;

/**
 * An update was received from another daemon.
 *
 * @param prior whether that daemon continues to read if both daemons read
 * @param news the update
 */
record NewsHeard(boolean prior, StreamNews news) implements FollowEvent {
}
