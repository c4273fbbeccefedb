package org.rattanhead.peer.internal;

import java.util.List;
import java.util.OptionalDouble;

import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.messages.MeshLimit;

/**
 * Encodes and decodes what daemons report to each other of the limits of instances.
 */
final class LimitReportCodec {

	private LimitReportCodec() {
	}

	static List<MeshLimit> encode(List<LimitReport> reports) {
		return reports.stream().map(LimitReportCodec::encode).toList();
	}

	private static MeshLimit encode(LimitReport report) {
		MeshLimit.Builder builder = MeshLimit.newBuilder()
			.setInstance(report.instance())
			.setIncarnation(report.incarnation())
			.setAgeMillis(report.ageMillis());
		report.perSecond().ifPresent(builder::setPerSecond);
		return builder.build();
	}

	static List<LimitReport> decode(List<MeshLimit> messages) {
		return messages.stream().map(LimitReportCodec::decode).toList();
	}

	private static LimitReport decode(MeshLimit message) {
		return new LimitReport(message.getInstance(), message.getIncarnation(),
				message.hasPerSecond() ? OptionalDouble.of(message.getPerSecond()) : OptionalDouble.empty(),
				message.getAgeMillis());
	}

}
