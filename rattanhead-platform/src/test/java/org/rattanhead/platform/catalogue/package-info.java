/**
 * Tests of the catalogue's encodings.
 */
package org.rattanhead.platform.catalogue;
