package org.rattanhead.core.catalogue;

/**
 * A customer: its key and its limits.
 *
 * @param name the name
 * @param owner who answers for the entry
 * @param className the class of its requests
 * @param keySha256 SHA-256 of the key its callers present, 64 hexadecimal digits
 * @param maxConcurrentRequests requests in flight through one daemon
 * @param maxPromptTokens the longest prompt, in tokens
 */
public record WorkspaceEntry(String name, String owner, String className, String keySha256, int maxConcurrentRequests,
		int maxPromptTokens) implements CatalogueEntry {
}
