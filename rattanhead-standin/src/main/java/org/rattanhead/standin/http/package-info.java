/**
 * Common parts of the HTTP interfaces of the stand-ins.
 */
package org.rattanhead.standin.http;
