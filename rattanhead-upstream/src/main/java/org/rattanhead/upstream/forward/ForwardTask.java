package org.rattanhead.upstream.forward;

/**
 * A task of the {@link ForwardCallDuty}.
 */
sealed interface ForwardTask permits StartForward, UpdateReservation, StartProbe {

}
