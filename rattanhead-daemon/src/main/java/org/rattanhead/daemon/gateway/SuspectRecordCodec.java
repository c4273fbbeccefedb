package org.rattanhead.daemon.gateway;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.rattanhead.core.Payload;

/**
 * Names the records of blocked suspects, which stand in the stream of the daemons'
 * announcements. No host has such a name.
 */
final class SuspectRecordCodec {

	/** The value of a record, which only has to differ from that of a deleted one. */
	static final Payload BLOCKED = Payload.of("blocked");

	private static final String PREFIX = "suspect/";

	private static final Pattern KEY = Pattern.compile(PREFIX + "([0-9a-f]{1,16})");

	private static final int HEXADECIMAL = 16;

	private SuspectRecordCodec() {
	}

	static String key(long suspect) {
		return PREFIX + Long.toHexString(suspect);
	}

	/**
	 * Returns the suspect that a record is about.
	 * @param key the key of the record
	 * @return the suspect, empty if the record is about something else
	 */
	static OptionalLong suspect(String key) {
		Matcher matcher = KEY.matcher(key);
		return matcher.matches() ? OptionalLong.of(Long.parseUnsignedLong(matcher.group(1), HEXADECIMAL))
				: OptionalLong.empty();
	}

}
