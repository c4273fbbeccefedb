package org.rattanhead.core.catalogue;

/**
 * A class of service.
 *
 * @param name the name
 * @param owner the party responsible for the entry
 * @param priority the scheduling priority; lower numbers are served first
 * @param deadlineMillis the deadline of requests that specify none, in milliseconds
 * @param maxDeadlineMillis the longest deadline a caller may request, in milliseconds
 */
public record ClassEntry(String name, String owner, int priority, long deadlineMillis,
		long maxDeadlineMillis) implements CatalogueEntry {
}
