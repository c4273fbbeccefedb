package org.rattanhead.platform.keyed;

/**
 * An input of {@link KeyedFollower}.
 */
sealed interface FollowEvent permits ReadDue, PageArrived, ReadFailed, UpdateReceived {

}
