/**
 * Tests of the front end for forwarded requests.
 */
package org.rattanhead.http.forward;
