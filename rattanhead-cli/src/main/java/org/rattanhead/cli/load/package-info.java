/**
 * Open-loop, seeded load with latency percentiles by prompt length.
 */
package org.rattanhead.cli.load;
