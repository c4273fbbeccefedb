/**
 * Writes HTTP responses without blocking, for the front end and for the stand-ins.
 */
package org.rattanhead.server;
