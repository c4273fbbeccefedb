package org.rattanhead.platform.keyed;

/**
 * An event of {@link KeyedFollower}.
 */
sealed interface FollowEvent permits ReadDue, PageArrived, ReadFailed, UpdateReceived {

}
