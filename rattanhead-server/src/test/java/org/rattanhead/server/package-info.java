/**
 * Tests of response writing.
 */
package org.rattanhead.server;
