/**
 * Calls model engines and plain services, and checks that every answer is complete and
 * belongs to its attempt.
 */
package org.rattanhead.upstream;
