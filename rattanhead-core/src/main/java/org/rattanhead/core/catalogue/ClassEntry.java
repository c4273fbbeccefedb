package org.rattanhead.core.catalogue;

/**
 * A class of service.
 *
 * @param name the name
 * @param owner who answers for the entry
 * @param priority order of service; a lower number goes first
 * @param deadlineMillis the deadline of requests that name none, in milliseconds
 * @param maxDeadlineMillis the longest deadline a caller may ask for, in milliseconds
 */
public record ClassEntry(String name, String owner, int priority, long deadlineMillis,
		long maxDeadlineMillis) implements CatalogueEntry {
}
