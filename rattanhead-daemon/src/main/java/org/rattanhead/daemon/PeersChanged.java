package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.host.Host;

/**
 * The set of daemons to keep links to.
 *
 * @param hosts the daemons
 */
record PeersChanged(List<Host> hosts) implements PeerTask {
}
