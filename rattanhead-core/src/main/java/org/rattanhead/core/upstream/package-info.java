/**
 * Load reports of upstreams and the digests that lease holders publish.
 */
package org.rattanhead.core.upstream;
