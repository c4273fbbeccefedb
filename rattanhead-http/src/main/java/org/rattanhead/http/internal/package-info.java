/**
 * Implementation of the front end.
 */
package org.rattanhead.http.internal;
