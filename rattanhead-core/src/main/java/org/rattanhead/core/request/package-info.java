/**
 * Requests of callers and the attempts made to answer them.
 */
package org.rattanhead.core.request;
