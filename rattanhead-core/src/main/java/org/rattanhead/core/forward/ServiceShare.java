package org.rattanhead.core.forward;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight its weight, at least 0
 */
public record ServiceShare(String service, int weight) {
}
