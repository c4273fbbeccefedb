/**
 * The catalogue in the log service: encoding, INI files, and the clients that follow and
 * publish it.
 */
package org.rattanhead.platform.catalogue;
