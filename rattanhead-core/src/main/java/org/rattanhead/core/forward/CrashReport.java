package org.rattanhead.core.forward;

import java.util.List;
import java.util.OptionalLong;

/**
 * What a daemon knows of a suspect: a request, or a part that prompts share, with which
 * instances crashed.
 *
 * @param suspect the fingerprint of the request, or the id of the part
 * @param crashes the crashes since an instance last answered it
 * @param answeredAgeMillis the time since an instance began an answer to it that went on,
 * in milliseconds; empty if none is known
 * @param blockedMillis how much longer it is blocked, in milliseconds; 0 if it is not
 */
public record CrashReport(long suspect, List<ReportedCrash> crashes, OptionalLong answeredAgeMillis,
		long blockedMillis) {
}
