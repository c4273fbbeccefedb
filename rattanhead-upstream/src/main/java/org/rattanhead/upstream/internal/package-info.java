/**
 * Implementation of the calls to upstreams.
 */
package org.rattanhead.upstream.internal;
