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
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.decision.forward.LogDecision;
import org.rattanhead.decision.forward.ReportBalance;
import org.rattanhead.platform.keyed.PositionSource;

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

	private final Gauge streamOffsets = streamGauge("rattanhead_stream_offset",
			"Offset of the next record of a stream, by stream and who told it");

	private final Gauge streamEras = streamGauge("rattanhead_stream_era",
			"Era of the store in which the offset counts");

	private final Gauge streamConfirmed = streamGauge("rattanhead_stream_confirmed_timestamp_seconds",
			"When the offset was last confirmed, in seconds since 1970");

	private Gauge streamGauge(String name, String help) {
		return Gauge.builder().name(name).help(help).labelNames("stream", "source").register(this.registry);
	}

	void position(KeyedStream stream, StreamPosition position, PositionSource source) {
		String[] labels = { stream.name().toLowerCase(Locale.ROOT), source.name().toLowerCase(Locale.ROOT) };
		this.streamOffsets.labelValues(labels).set(position.offset());
		this.streamEras.labelValues(labels).set(position.era());
		this.streamConfirmed.labelValues(labels).set(System.currentTimeMillis() / MILLIS_PER_SECOND);
	}

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
