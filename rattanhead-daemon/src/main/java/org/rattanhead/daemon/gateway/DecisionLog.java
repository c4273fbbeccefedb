package org.rattanhead.daemon.gateway;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.decision.forward.DecisionInput;
import org.rattanhead.decision.forward.LogDecision;

/**
 * Writes decisions to the log, one line each. Above a number of lines a second the rest
 * is counted instead. Used by the thread of one duty.
 */
final class DecisionLog {

	private static final Logger LOGGER = LogManager.getLogger(GatewayLogs.DECISIONS);

	/** The most lines a second, to bound what the log costs under load. */
	private static final int MAX_LINES_PER_SECOND = 400;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private long secondStartNanos;

	private int lines;

	private long dropped;

	void write(LogDecision note, long nowNanos) {
		if (nowNanos - this.secondStartNanos >= SECOND_NANOS) {
			if (this.dropped > 0) {
				LOGGER.warn("\"decision\":\"log-limit\",\"dropped_lines\":\"" + this.dropped + "\"");
			}
			this.secondStartNanos = nowNanos;
			this.lines = 0;
			this.dropped = 0;
		}
		if (this.lines >= MAX_LINES_PER_SECOND) {
			this.dropped++;
			return;
		}
		this.lines++;
		LOGGER.info(encode(note));
	}

	private static String encode(LogDecision note) {
		StringBuilder line = new StringBuilder();
		member(line, "decision", note.decision());
		member(line, "request", note.request());
		member(line, "attempt_id", note.callerAttempt());
		member(line, "upstream", note.upstream());
		member(line, "outcome", note.outcome());
		for (DecisionInput input : note.inputs()) {
			member(line, input.name(), input.value());
		}
		return line.toString();
	}

	private static void member(StringBuilder line, String name, String value) {
		if (!value.isEmpty()) {
			line.append((line.length() > 0) ? ",\"" : "\"").append(name).append("\":\"");
			JsonStringEncoder.getInstance().quoteAsString(value, line);
			line.append('"');
		}
	}

}
