/**
 * Tests of the front ends.
 */
package org.rattanhead.http.internal;
