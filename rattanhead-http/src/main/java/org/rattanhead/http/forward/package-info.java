/**
 * The front end whose requests are forwarded unchanged. What callers speak is translated
 * by a {@link org.rattanhead.http.forward.ForwardCodec}.
 */
package org.rattanhead.http.forward;
