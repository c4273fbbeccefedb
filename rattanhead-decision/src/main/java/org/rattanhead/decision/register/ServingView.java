package org.rattanhead.decision.register;

/**
 * What a daemon knows of the fleet when it decides whether to serve.
 *
 * @param otherServing the number of other serving daemons
 * @param precedingServing how many of them precede this daemon in the order of all
 * daemons
 * @param weakerServing whether one of them has a host with less processor time
 * @param candidates the number of daemons that may begin to serve, this one included
 */
public record ServingView(int otherServing, int precedingServing, boolean weakerServing, int candidates) {
}
