/**
 * Tests of the calls to registered upstream instances.
 */
package org.rattanhead.upstream.forward;
