/**
 * Tests of the encodings of the catalogue.
 */
package org.rattanhead.platform.catalogue;
