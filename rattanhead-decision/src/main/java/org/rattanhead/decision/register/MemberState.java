package org.rattanhead.decision.register;

import org.rattanhead.core.forward.Member;

/**
 * The recorded state of another daemon.
 *
 * @param member the daemon
 * @param alive whether a heartbeat was received, or reported by a serving daemon, within
 * the timeout
 * @param ready whether callers may use it
 * @param serving whether it is one of the daemons that are advertised to callers
 * @param expiresNanos when this state expires, on the monotonic clock
 */
record MemberState(Member member, boolean alive, boolean ready, boolean serving, long expiresNanos) {
}
