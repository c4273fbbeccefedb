/**
 * Calls to registered upstream instances on behalf of the forwarding decisions.
 */
package org.rattanhead.upstream.forward;
