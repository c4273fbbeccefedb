package org.rattanhead.decision.holder;

/**
 * What the lease holder decides on.
 */
public sealed interface HolderEvent permits OrderReceived, UpstreamSignal, LoadReported, LoadMissing,
		HolderCatalogueChanged, HolderMembersChanged, EntryLost, HolderTick, HolderShutdown {

}
