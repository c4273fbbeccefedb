package org.rattanhead.cli.load;

/**
 * The results for one bucket of prompt lengths in a report.
 *
 * @param bucket the label of the bucket
 * @param requests requests sent
 * @param answered requests answered completely and correctly
 * @param wrong answers that were complete and incorrect
 * @param refused requests refused with a problem document
 * @param failed requests that failed otherwise
 * @param firstTokenP50Millis median time to first token, in milliseconds
 * @param firstTokenP95Millis 95th percentile of the time to first token, in milliseconds
 * @param firstTokenP99Millis 99th percentile of the time to first token, in milliseconds
 */
public record BucketSummary(String bucket, int requests, int answered, int wrong, int refused, int failed,
		double firstTokenP50Millis, double firstTokenP95Millis, double firstTokenP99Millis) {
}
