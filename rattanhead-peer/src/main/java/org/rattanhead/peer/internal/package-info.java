/**
 * Implementation of the links: framing, encoding, pings.
 */
package org.rattanhead.peer.internal;
