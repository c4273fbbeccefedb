package org.rattanhead.daemon.gateway;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.decision.forward.DecisionInput;
import org.rattanhead.decision.forward.LogDecision;

/**
 * Writes decisions to the log, one line each. Lines above a limit per second are dropped
 * and counted. Not thread-safe; used by one duty.
 */
final class DecisionLog {

	private static final Logger LOGGER = LogManager.getLogger(GatewayLogs.DECISIONS);

	/** Bounds the cost of logging under load. */
	private static final int MAX_LINES_PER_SECOND = 400;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private long secondStartNanos;

	private int linesInSecond;

	private long droppedLines;

	void write(LogDecision command, long nowNanos) {
		if (nowNanos - this.secondStartNanos >= SECOND_NANOS) {
			if (this.droppedLines > 0) {
				LOGGER.warn("\"decision\":\"log-limit\",\"dropped_lines\":\"" + this.droppedLines + "\"");
			}
			this.secondStartNanos = nowNanos;
			this.linesInSecond = 0;
			this.droppedLines = 0;
		}
		if (this.linesInSecond >= MAX_LINES_PER_SECOND) {
			this.droppedLines++;
			return;
		}
		this.linesInSecond++;
		LOGGER.info(encode(command));
	}

	private static String encode(LogDecision command) {
		StringBuilder line = new StringBuilder();
		appendField(line, "decision", command.decision());
		appendField(line, "request", command.request());
		appendField(line, "attempt_id", command.callerAttempt());
		appendField(line, "upstream", command.upstream());
		appendField(line, "outcome", command.outcome());
		for (DecisionInput input : command.inputs()) {
			appendField(line, input.name(), input.value());
		}
		return line.toString();
	}

	private static void appendField(StringBuilder line, String name, String value) {
		if (!value.isEmpty()) {
			line.append((line.length() > 0) ? ",\"" : "\"").append(name).append("\":\"");
			JsonStringEncoder.getInstance().quoteAsString(value, line);
			line.append('"');
		}
	}

}
