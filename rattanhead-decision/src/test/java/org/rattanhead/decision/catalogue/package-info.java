/**
 * Tests of the catalogue.
 */
package org.rattanhead.decision.catalogue;
