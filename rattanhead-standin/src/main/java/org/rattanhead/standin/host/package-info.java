/**
 * The stand-in of the platform's host list.
 */
package org.rattanhead.standin.host;
