package org.rattanhead.core.catalogue;

/**
 * A model that requests can address.
 *
 * @param name the name
 * @param owner the party responsible for the entry
 * @param maxPromptTokens the longest prompt the model accepts, in tokens
 * @param maxOutputTokens the longest answer that the model generates, in tokens
 */
public record ModelEntry(String name, String owner, int maxPromptTokens,
		int maxOutputTokens) implements CatalogueEntry {
}
