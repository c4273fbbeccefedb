/**
 * Datagrams between daemons: heartbeats, the work that each has placed, and records of
 * streams of the platform.
 */
package org.rattanhead.peer.mesh;
