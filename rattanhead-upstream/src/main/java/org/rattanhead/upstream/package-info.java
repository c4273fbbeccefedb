/**
 * Calls model engines and plain services, and checks that every answer is whole and
 * belongs to its attempt.
 */
package org.rattanhead.upstream;
