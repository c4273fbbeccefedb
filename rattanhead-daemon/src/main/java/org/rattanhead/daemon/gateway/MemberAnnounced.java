package org.rattanhead.daemon.gateway;

import org.rattanhead.core.forward.Member;

/**
 * The announcement of a daemon was read from the platform.
 *
 * @param member the daemon
 */
record MemberAnnounced(Member member) implements MeshEvent {
}
