/**
 * Small stand-ins for the outside systems, for demonstrations, tests and measurements.
 * They are seeded and take faults through their API.
 */
package org.rattanhead.standin;
