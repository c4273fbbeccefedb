/**
 * What the HTTP interfaces of the stand-ins have in common.
 */
package org.rattanhead.standin.http;
