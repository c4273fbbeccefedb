package org.rattanhead.core.catalogue;

/**
 * A workspace, with the hash of its key and its limits.
 *
 * @param name the unique name of the workspace
 * @param owner the party responsible for the entry
 * @param className the class of service of its requests
 * @param keySha256 SHA-256 of the key that its callers send, 64 hexadecimal digits
 * @param maxConcurrentRequests the maximum number of concurrent requests per daemon
 * @param maxPromptTokens the longest prompt, in tokens
 */
public record WorkspaceEntry(String name, String owner, String className, String keySha256, int maxConcurrentRequests,
		int maxPromptTokens) implements CatalogueEntry {
}
