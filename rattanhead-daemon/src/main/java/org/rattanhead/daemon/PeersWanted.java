package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.host.Host;

/**
 * Keep links to these daemons.
 *
 * @param hosts the daemons
 */
record PeersWanted(List<Host> hosts) implements PeerTask {
}
