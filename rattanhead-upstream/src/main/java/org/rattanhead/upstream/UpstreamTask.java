package org.rattanhead.upstream;

/**
 * What the upstream duty has to do.
 */
sealed interface UpstreamTask permits StartCall, StopCall, ForgetCall, ReadLoad {

}
