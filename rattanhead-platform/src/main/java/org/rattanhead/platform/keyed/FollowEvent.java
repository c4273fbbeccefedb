package org.rattanhead.platform.keyed;

/**
 * What a {@link KeyedFollower} handles.
 */
sealed interface FollowEvent permits ReadDue, PageArrived, ReadFailed, NewsHeard {

}
