package org.rattanhead.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.decision.edge.CountEdgeEvent;
import org.rattanhead.decision.holder.CountHolderEvent;
import org.rattanhead.http.FrontEndObserver;
import org.rattanhead.ring.Duty;

/**
 * The metrics of a daemon.
 */
final class DaemonMetrics implements FrontEndObserver {

	private static final double[] FIRST_BYTE_BUCKETS_SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5,
			10, 30, 60 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter edgeEvents = Counter.builder()
		.name("rattanhead_edge_events_total")
		.help("What the edge decided, by event and label")
		.labelNames("event", "label")
		.register(this.registry);

	private final Counter holderEvents = Counter.builder()
		.name("rattanhead_holder_events_total")
		.help("What the lease holder decided, by event and label")
		.labelNames("event", "label")
		.register(this.registry);

	private final Counter frontEndRefusals = Counter.builder()
		.name("rattanhead_front_end_refusals_total")
		.help("Requests refused before any decision, by problem")
		.labelNames("problem")
		.register(this.registry);

	private final Counter crossedAnswers = Counter.builder()
		.name("rattanhead_crossed_answers_total")
		.help("Answers dropped because they belong to another attempt, by upstream")
		.labelNames("upstream")
		.register(this.registry);

	private final Histogram firstBytes = Histogram.builder()
		.name("rattanhead_first_bytes_seconds")
		.help("Time from the decoded request to the first part of the answer")
		.classicOnly()
		.classicUpperBounds(FIRST_BYTE_BUCKETS_SECONDS)
		.register(this.registry);

	DaemonMetrics(LongSupplier catalogueOffset) {
		GaugeWithCallback.builder()
			.name("rattanhead_catalogue_offset")
			.help("Log offset of the catalogue in force")
			.callback((gauge) -> gauge.call(catalogueOffset.getAsLong()))
			.register(this.registry);
	}

	void registerPeerBytes(LongSupplier sentBytes) {
		GaugeWithCallback.builder()
			.name("rattanhead_peer_sent_bytes")
			.help("Bytes sent to other daemons, pings left out")
			.callback((gauge) -> gauge.call(sentBytes.getAsLong()))
			.register(this.registry);
	}

	void registerRings(List<Duty<?>> duties) {
		GaugeWithCallback.builder()
			.name("rattanhead_ring_backlog_events")
			.help("Events that wait in a ring")
			.labelNames("duty")
			.callback((gauge) -> duties.forEach((duty) -> gauge.call(duty.backlog(), duty.name())))
			.register(this.registry);
		GaugeWithCallback.builder()
			.name("rattanhead_ring_refused_events")
			.help("Events refused because a ring was full")
			.labelNames("duty")
			.callback((gauge) -> duties.forEach((duty) -> gauge.call(duty.refused(), duty.name())))
			.register(this.registry);
	}

	void count(CountEdgeEvent event) {
		this.edgeEvents.labelValues(lowerCaseName(event.metric()), event.label()).inc();
	}

	void count(CountHolderEvent event) {
		this.holderEvents.labelValues(lowerCaseName(event.metric()), event.label()).inc();
	}

	void countCrossedAnswer(String upstream) {
		this.crossedAnswers.labelValues(upstream).inc();
	}

	@Override
	public void onRefused(ProblemKind kind) {
		this.frontEndRefusals.labelValues(kind.slug()).inc();
	}

	@Override
	public void onFirstBytes(double seconds) {
		this.firstBytes.observe(seconds);
	}

	Payload page() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return new Payload(out.toByteArray());
	}

	private static String lowerCaseName(Enum<?> metric) {
		return metric.name().toLowerCase(Locale.ROOT);
	}

}
