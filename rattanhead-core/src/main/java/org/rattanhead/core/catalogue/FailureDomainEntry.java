package org.rattanhead.core.catalogue;

/**
 * A group of hosts that fail together.
 *
 * @param name the unique name of the failure domain
 * @param owner the party responsible for the entry
 * @param region the region it is located in
 * @param state whether the failure domain accepts new work
 */
public record FailureDomainEntry(String name, String owner, String region,
		FailureDomainState state) implements CatalogueEntry {
}
