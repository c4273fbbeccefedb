package org.rattanhead.decision.register;

import org.rattanhead.core.forward.Member;

/**
 * What is known of another daemon.
 *
 * @param member the daemon
 * @param alive whether it was heard lately
 * @param ready whether callers may use it
 * @param serving whether it is one of the daemons that are named to callers
 * @param untilNanos when this is no longer believed, on the monotonic clock
 */
record KnownMember(Member member, boolean alive, boolean ready, boolean serving, long untilNanos) {
}
