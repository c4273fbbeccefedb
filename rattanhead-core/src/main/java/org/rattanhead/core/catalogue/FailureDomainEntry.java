package org.rattanhead.core.catalogue;

/**
 * A group of hosts that fail together.
 *
 * @param name the name
 * @param owner who answers for the entry
 * @param region the region it stands in
 * @param state whether the failure domain takes new work
 */
public record FailureDomainEntry(String name, String owner, String region,
		FailureDomainState state) implements CatalogueEntry {
}
