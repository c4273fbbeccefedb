/**
 * Tests of duties.
 */
package org.rattanhead.ring;
