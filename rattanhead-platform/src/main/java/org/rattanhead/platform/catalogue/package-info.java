/**
 * The catalogue on the log service: its encoding, its files, its tail and its
 * publication.
 */
package org.rattanhead.platform.catalogue;
