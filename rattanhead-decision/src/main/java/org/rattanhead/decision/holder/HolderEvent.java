package org.rattanhead.decision.holder;

/**
 * An event that the lease holder handles.
 */
public sealed interface HolderEvent permits OrderReceived, UpstreamSignal, LoadReported, LoadMissing,
		HolderCatalogueChanged, HolderMembersChanged, EntryDaemonLost, HolderTick, HolderShutdown {

}
