/**
 * Tests of the HTTP client.
 */
package org.rattanhead.client.internal;
