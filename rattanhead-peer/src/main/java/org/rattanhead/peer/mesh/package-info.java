/**
 * Datagrams between daemons: who lives, and the work that each has placed.
 */
package org.rattanhead.peer.mesh;
