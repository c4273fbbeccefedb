package org.rattanhead.platform.keyed;

/**
 * What a {@link KeyedFollower} handles: a page, a failure, or, with neither, that a read
 * is due.
 *
 * @param page the page
 * @param failure the failure
 */
record FollowEvent(KeyedPage page, Throwable failure) {
}
