package org.rattanhead.core.forward;

import java.util.OptionalDouble;

/**
 * What a daemon knows of the limit of an instance.
 *
 * @param instance the id of the instance
 * @param incarnation the incarnation that named the limit
 * @param perSecond the requests a second that it takes from all daemons together, empty
 * if the limit has ended
 * @param ageMillis the time since the instance said so, in milliseconds
 */
public record LimitReport(String instance, long incarnation, OptionalDouble perSecond, long ageMillis) {
}
