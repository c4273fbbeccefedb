package org.rattanhead.upstream.forward;

/**
 * What a {@link ForwardCallDuty} does.
 */
sealed interface ForwardTask permits StartForward, StopForward, ForgetForward, OrderMemory {

}
