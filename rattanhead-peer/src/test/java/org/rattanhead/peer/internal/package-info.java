/**
 * Tests of the encodings between daemons.
 */
package org.rattanhead.peer.internal;
