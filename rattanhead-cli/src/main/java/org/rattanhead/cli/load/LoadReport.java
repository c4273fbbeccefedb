package org.rattanhead.cli.load;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

/**
 * Formats the results of a load as a table or as JSON.
 */
public final class LoadReport {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final int DIGITS = 3;

	private static final int OK = 200;

	private static final double MICROS_PER_MILLI = 1_000;

	private static final double MEDIAN = 50;

	private static final double P95 = 95;

	private static final double P99 = 99;

	private LoadReport() {
	}

	/**
	 * Summarises a load by prompt length.
	 * @param result the result
	 * @return a summary of each bucket that has requests, then one of all requests
	 */
	public static List<BucketSummary> summaries(LoadResult result) {
		Stream<BucketSummary> buckets = Arrays.stream(LengthBucket.values())
			.map((bucket) -> summary(bucket.label(),
					select(result, (outcome) -> LengthBucket.of(outcome.request().promptTokens()) == bucket)))
			.filter((summary) -> summary.requests() > 0);
		return Stream.concat(buckets, Stream.of(summary("all", result.outcomes()))).toList();
	}

	/**
	 * Writes the summaries as a table.
	 * @param result the result
	 * @param out where it is written
	 */
	public static void table(LoadResult result, PrintStream out) {
		out.printf("%-10s %8s %8s %6s %8s %6s | first token ms: %8s %8s %8s%n", "prompt", "requests", "answered",
				"wrong", "refused", "failed", "p50", "p95", "p99");
		summaries(result).forEach((line) -> out.printf("%-10s %8d %8d %6d %8d %6d | %15s %8.1f %8.1f %8.1f%n",
				line.bucket(), line.requests(), line.answered(), line.wrong(), line.refused(), line.failed(), "",
				line.firstTokenP50Millis(), line.firstTokenP95Millis(), line.firstTokenP99Millis()));
		problems(result).forEach((problem, count) -> out.printf("%8d ended with %s%n", count, problem));
	}

	/**
	 * Encodes the summaries as JSON.
	 * @param result the result
	 * @return the JSON text
	 */
	public static String json(LoadResult result) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("seed", result.plan().seed());
		node.put("elapsedMillis", result.elapsedMillis());
		node.set("buckets", MAPPER.valueToTree(summaries(result)));
		node.set("problems", MAPPER.valueToTree(problems(result)));
		return node.toString();
	}

	private static Map<String, Long> problems(LoadResult result) {
		return select(result, (outcome) -> !outcome.detail().isEmpty()).stream()
			.collect(Collectors.groupingBy(LoadOutcome::detail, TreeMap::new, Collectors.counting()));
	}

	private static BucketSummary summary(String label, List<LoadOutcome> outcomes) {
		Histogram firstToken = new Histogram(DIGITS);
		outcomes.stream()
			.filter((outcome) -> outcome.firstTokenMicros() >= 0)
			.forEach((outcome) -> firstToken.recordValue(outcome.firstTokenMicros()));
		int answered = count(outcomes, LoadOutcome::answeredCorrectly);
		int wrong = count(outcomes, (outcome) -> outcome.complete() && !outcome.correct());
		int refused = count(outcomes, (outcome) -> outcome.status() != OK && outcome.status() != 0);
		return new BucketSummary(label, outcomes.size(), answered, wrong, refused,
				outcomes.size() - answered - wrong - refused, millis(firstToken, MEDIAN), millis(firstToken, P95),
				millis(firstToken, P99));
	}

	private static List<LoadOutcome> select(LoadResult result, Predicate<LoadOutcome> filter) {
		return result.outcomes().stream().filter(filter).toList();
	}

	private static int count(List<LoadOutcome> outcomes, Predicate<LoadOutcome> filter) {
		return (int) outcomes.stream().filter(filter).count();
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

}
