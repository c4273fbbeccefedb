/**
 * Tests of the encoding of claims.
 */
package org.rattanhead.platform.claim;
