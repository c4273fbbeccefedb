package org.rattanhead.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.decision.forward.LogDecision;
import org.rattanhead.decision.forward.ReportBalance;

/**
 * The metrics of a gateway.
 */
final class GatewayMetrics {

	private static final double[] DURATION_BUCKETS_SECONDS = { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 5,
			10, 20 };

	private static final double MILLIS_PER_SECOND = 1_000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter decisions = Counter.builder()
		.name("rattanhead_forward_decisions_total")
		.help("Decisions about requests, by decision")
		.labelNames("decision")
		.register(this.registry);

	private final Histogram durations = Histogram.builder()
		.name("rattanhead_forward_seconds")
		.help("Time from the request to the end of its answer, by how it ended")
		.classicOnly()
		.classicUpperBounds(DURATION_BUCKETS_SECONDS)
		.labelNames("decision")
		.register(this.registry);

	private final Counter storeCalls = Counter.builder()
		.name("rattanhead_store_calls_total")
		.help("Calls to the platform's store that have ended, by stream, kind and outcome")
		.labelNames("stream", "kind", "outcome")
		.register(this.registry);

	private final Gauge balance = Gauge.builder()
		.name("rattanhead_forward_peak_to_mean")
		.help("Requests on the busiest server relative to the mean, by service")
		.labelNames("service")
		.register(this.registry);

	void countStoreCall(KeyedStream stream, String kind, boolean succeeded) {
		this.storeCalls.labelValues(stream.name().toLowerCase(Locale.ROOT), kind, succeeded ? "ok" : "failed").inc();
	}

	void balance(ReportBalance command) {
		this.balance.labelValues(command.service()).set(command.peakToMean());
	}

	void count(LogDecision command) {
		this.decisions.labelValues(command.decision()).inc();
		command.inputs()
			.stream()
			.filter((input) -> input.name().equals("elapsed_ms"))
			.forEach((input) -> this.durations.labelValues(command.decision())
				.observe(Long.parseLong(input.value()) / MILLIS_PER_SECOND));
	}

	Payload page() {
		try {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
			return new Payload(out.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Metrics could not be written to memory", ex);
		}
	}

}
