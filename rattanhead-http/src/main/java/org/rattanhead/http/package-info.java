/**
 * The front end for callers and operators. It decodes requests, offers them to the edge,
 * and writes answers; it decides nothing.
 */
package org.rattanhead.http;
