/**
 * Non-blocking HTTP response writing for the front end and the stand-ins.
 */
package org.rattanhead.server;
