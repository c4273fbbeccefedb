/**
 * Orders the requests of a service by their rank.
 */
package org.rattanhead.decision.rank;
