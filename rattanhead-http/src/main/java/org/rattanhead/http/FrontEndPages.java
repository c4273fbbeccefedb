package org.rattanhead.http;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.decision.membership.Membership;

/**
 * Sources of the pages that the front end serves itself.
 *
 * @param catalogue the current catalogue
 * @param membership the current membership of the cluster
 * @param ready whether the daemon accepts new work
 * @param metrics the metrics in Prometheus text format
 * @param status the state of the daemon as JSON
 */
public record FrontEndPages(Supplier<Catalogue> catalogue, Supplier<Membership> membership, BooleanSupplier ready,
		Supplier<Payload> metrics, Supplier<Payload> status) {
}
