/**
 * HTTP calls over Undertow's client: bounded idle connections, deadlines, streamed
 * replies with back-pressure.
 */
package org.rattanhead.client;
