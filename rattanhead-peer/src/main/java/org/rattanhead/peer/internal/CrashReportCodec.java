package org.rattanhead.peer.internal;

import java.util.List;
import java.util.OptionalLong;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.ReportedCrash;
import org.rattanhead.messages.MeshCrash;
import org.rattanhead.messages.MeshInstanceCrash;

/**
 * Encodes and decodes what daemons report to each other of suspects.
 */
final class CrashReportCodec {

	private CrashReportCodec() {
	}

	static MeshCrash encode(CrashReport report) {
		MeshCrash.Builder builder = MeshCrash.newBuilder()
			.setFingerprint(report.suspect())
			.setBlockedMillis(report.blockedMillis());
		report.answeredAgeMillis().ifPresent(builder::setAnsweredAgeMillis);
		report.crashes()
			.forEach((crash) -> builder.addInstanceCrashes(
					MeshInstanceCrash.newBuilder().setInstance(crash.instance()).setAgeMillis(crash.ageMillis())));
		return builder.build();
	}

	static List<CrashReport> decode(List<MeshCrash> messages) {
		return messages.stream().map(CrashReportCodec::decode).toList();
	}

	private static CrashReport decode(MeshCrash message) {
		List<ReportedCrash> crashes = message.getInstanceCrashesList()
			.stream()
			.map((crash) -> new ReportedCrash(crash.getInstance(), crash.getAgeMillis()))
			.toList();
		return new CrashReport(message.getFingerprint(), crashes,
				message.hasAnsweredAgeMillis() ? OptionalLong.of(message.getAnsweredAgeMillis()) : OptionalLong.empty(),
				message.getBlockedMillis());
	}

}
