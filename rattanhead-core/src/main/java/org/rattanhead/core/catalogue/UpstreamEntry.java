package org.rattanhead.core.catalogue;

/**
 * A back end that serves one model or one plain service.
 *
 * @param name the name
 * @param owner the party responsible for the entry
 * @param failureDomain the failure domain it belongs to
 * @param model the model it serves, empty for a plain service
 * @param service the plain service it belongs to, empty for a model engine
 * @param address IP address and port, such as 127.0.0.1:9001
 * @param slots the most requests that it runs concurrently when warm
 * @param coldStartSlots the most requests that it sustains concurrently in cold start
 * @param memoryTokens the capacity of its KV cache, in tokens; 0 for a plain service
 * @param checksFencing whether it rejects calls with an outdated fencing number
 */
public record UpstreamEntry(String name, String owner, String failureDomain, String model, String service,
		String address, int slots, int coldStartSlots, int memoryTokens,
		boolean checksFencing) implements CatalogueEntry {

	/**
	 * Returns whether this is a model engine.
	 * @return true for a model engine, false for a plain service
	 */
	public boolean engine() {
		return !this.model.isEmpty();
	}

	/**
	 * Returns what the upstream serves.
	 * @return the name of the model or of the plain service
	 */
	public String target() {
		return engine() ? this.model : this.service;
	}

}
