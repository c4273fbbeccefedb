/**
 * The front end for callers and operators. It decodes requests, offers them to the edge
 * and writes responses; it takes no decisions.
 */
package org.rattanhead.http;
