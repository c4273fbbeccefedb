package org.rattanhead.http;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.decision.membership.Membership;

/**
 * What the front end shows besides answers.
 *
 * @param catalogue the catalogue in force
 * @param membership the conclusion about the daemons
 * @param ready whether the daemon takes new work
 * @param metrics the metrics in Prometheus text format
 * @param status the state of the daemon as JSON
 */
public record FrontEndPages(Supplier<Catalogue> catalogue, Supplier<Membership> membership, BooleanSupplier ready,
		Supplier<Payload> metrics, Supplier<Payload> status) {
}
