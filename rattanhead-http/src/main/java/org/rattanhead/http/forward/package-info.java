/**
 * The front end whose requests are forwarded unchanged. The wire format of callers is
 * translated by a {@link org.rattanhead.http.forward.ForwardCodec}.
 */
package org.rattanhead.http.forward;
