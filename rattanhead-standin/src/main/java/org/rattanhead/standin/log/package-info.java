/**
 * The stand-in of the platform's log service.
 */
package org.rattanhead.standin.log;
