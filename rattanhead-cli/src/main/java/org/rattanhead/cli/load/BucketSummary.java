package org.rattanhead.cli.load;

/**
 * A line of a report.
 *
 * @param bucket the prompt lengths
 * @param requests requests sent
 * @param answered requests answered whole and right
 * @param wrong answers that were whole and wrong
 * @param refused requests refused with a problem document
 * @param failed requests that failed otherwise
 * @param firstTokenP50Millis median time to first token, in milliseconds
 * @param firstTokenP95Millis 95th percentile, in milliseconds
 * @param firstTokenP99Millis 99th percentile, in milliseconds
 */
public record BucketSummary(String bucket, int requests, int answered, int wrong, int refused, int failed,
		double firstTokenP50Millis, double firstTokenP95Millis, double firstTokenP99Millis) {
}
