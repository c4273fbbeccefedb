package org.rattanhead.core.forward;

/**
 * The crash of an instance.
 *
 * @param instance identifies the incarnation of the instance
 * @param ageMillis the time since the crash, in milliseconds
 */
public record ReportedCrash(long instance, long ageMillis) {
}
