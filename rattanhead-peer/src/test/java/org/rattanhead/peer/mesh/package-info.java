/**
 * Tests of the datagrams between daemons.
 */
package org.rattanhead.peer.mesh;
