package org.rattanhead.core.catalogue;

/**
 * A customer: its key and its limits.
 *
 * @param name the name
 * @param owner the party responsible for the entry
 * @param className the class of service of its requests
 * @param keySha256 SHA-256 of the key that its callers send, 64 hexadecimal digits
 * @param maxConcurrentRequests the most requests in flight at one daemon
 * @param maxPromptTokens the longest prompt, in tokens
 */
public record WorkspaceEntry(String name, String owner, String className, String keySha256, int maxConcurrentRequests,
		int maxPromptTokens) implements CatalogueEntry {
}
