/**
 * The stand-in for the platform's host list.
 */
package org.rattanhead.standin.host;
