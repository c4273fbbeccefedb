/**
 * Tests of the front end of the own interface.
 */
package org.rattanhead.http;
