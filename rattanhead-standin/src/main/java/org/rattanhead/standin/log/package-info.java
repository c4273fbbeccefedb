/**
 * The stand-in for the platform's log service.
 */
package org.rattanhead.standin.log;
