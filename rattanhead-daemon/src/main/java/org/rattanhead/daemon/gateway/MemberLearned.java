package org.rattanhead.daemon.gateway;

import org.rattanhead.core.forward.Member;

/**
 * A daemon announced itself on the platform.
 *
 * @param member the daemon
 */
record MemberLearned(Member member) implements MeshEvent {
}
