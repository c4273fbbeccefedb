package org.rattanhead.daemon;

import org.rattanhead.core.work.WorkSignal;

/**
 * A signal to be sent.
 *
 * @param host the entry daemon
 * @param signal the signal
 */
record SignalToPeer(String host, WorkSignal signal) implements PeerTask {
}
