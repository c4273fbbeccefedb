/**
 * Tests of the codecs.
 */
package org.rattanhead.peer.internal;
