package org.rattanhead.decision.forward;

/**
 * One input of a decision, for the log.
 *
 * @param name the name, with its unit
 * @param value the value
 */
public record DecisionInput(String name, String value) {

	static DecisionInput of(String name, long value) {
		return new DecisionInput(name, Long.toString(value));
	}

	static DecisionInput of(String name, String value) {
		return new DecisionInput(name, value);
	}

}
