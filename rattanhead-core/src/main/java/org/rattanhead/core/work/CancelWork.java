package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * Requests that the lease holder cancel an attempt.
 *
 * @param attempt the attempt
 */
public record CancelWork(AttemptId attempt) implements WorkOrder {
}
