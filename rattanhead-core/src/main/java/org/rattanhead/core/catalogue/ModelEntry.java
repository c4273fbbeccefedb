package org.rattanhead.core.catalogue;

/**
 * A model that callers name in their requests.
 *
 * @param name the name
 * @param owner who answers for the entry
 * @param maxPromptTokens the longest prompt the model accepts, in tokens
 * @param maxOutputTokens the longest answer the model gives, in tokens
 */
public record ModelEntry(String name, String owner, int maxPromptTokens,
		int maxOutputTokens) implements CatalogueEntry {
}
