/**
 * Tests of calls to upstreams.
 */
package org.rattanhead.upstream;
