package org.rattanhead.upstream;

/**
 * A task of the {@link UpstreamDuty}.
 */
sealed interface UpstreamTask permits StartCall, StopCall, RemoveCall, ReadLoad {

}
