package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * Tells the lease holder that an attempt is no longer wanted.
 *
 * @param attempt the attempt
 */
public record CancelWork(AttemptId attempt) implements WorkOrder {
}
