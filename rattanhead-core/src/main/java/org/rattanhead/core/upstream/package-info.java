/**
 * What an upstream reports about itself and what the lease holder publishes about it.
 */
package org.rattanhead.core.upstream;
