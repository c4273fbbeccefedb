/**
 * Measurements: micro-benchmarks of decisions, the overhead of the daemon over direct
 * calls, the throughput with claims, and the cost of control.
 */
package org.rattanhead.bench;
