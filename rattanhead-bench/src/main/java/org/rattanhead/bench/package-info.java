/**
 * Measurements: micro-benchmarks of decisions, and the overhead of the path against
 * calling an engine directly.
 */
package org.rattanhead.bench;
