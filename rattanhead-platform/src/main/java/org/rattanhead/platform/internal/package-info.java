/**
 * Encodings of the platform's protocols.
 */
package org.rattanhead.platform.internal;
