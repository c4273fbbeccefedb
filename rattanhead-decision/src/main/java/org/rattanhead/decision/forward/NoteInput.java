package org.rattanhead.decision.forward;

/**
 * One input of a decision, for the log.
 *
 * @param name the name, with its unit
 * @param value the value
 */
public record NoteInput(String name, String value) {

	static NoteInput of(String name, long value) {
		return new NoteInput(name, Long.toString(value));
	}

	static NoteInput of(String name, String value) {
		return new NoteInput(name, value);
	}

}
