/**
 * Tests of the search for what crashes instances.
 */
package org.rattanhead.decision.crash;
