/**
 * Implementation of the links and of the encodings between daemons.
 */
package org.rattanhead.peer.internal;
