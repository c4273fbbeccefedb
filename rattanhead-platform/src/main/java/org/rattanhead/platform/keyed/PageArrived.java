package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamPosition;

/**
 * A read succeeded.
 *
 * @param from the position at which the read started
 * @param page the page read
 */
record PageArrived(StreamPosition from, KeyedPage page) implements FollowEvent {
}
