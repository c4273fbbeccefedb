package org.rattanhead.decision.reach;

import java.util.function.Predicate;

import org.rattanhead.core.forward.UpstreamInstance;

/**
 * What fails between a daemon, the instances and the other daemons.
 */
enum LinkTrouble {

	NONE((instance) -> false),

	/** Nothing is sent either. */
	IDLE((instance) -> true, false, false, false, true, true, true),

	/** This daemon reaches no instance; connections hang. */
	CUT((instance) -> true),

	/** New connections are refused, and those that are open live on. */
	NEW_CONNECTIONS_REFUSED((instance) -> true, true, true, true, true, true, true),

	/** No daemon reaches an instance: they are down, or all daemons are cut off. */
	INSTANCES_GONE((instance) -> true, true, false, false, true, false, true),

	ONE_DOMAIN_CUT((instance) -> instance.failureDomain().equals("domain-1")),

	ONE_SERVICE_CUT((instance) -> instance.service().equals("service-1")),

	ONE_INSTANCE_SILENT((instance) -> instance.id().equals("i2")),

	/** The other daemons reach instances, and callers may not use them. */
	PEERS_NOT_READY((instance) -> true, true, false, false, true, true, false),

	/** This daemon reaches neither instances nor other daemons. */
	CUT_FROM_ALL((instance) -> true, true, false, false, false, true, true),

	/** This daemon reaches no instance, and does not learn how its probes end. */
	OUTCOMES_LOST((instance) -> true);

	final Predicate<UpstreamInstance> cut;

	final boolean attempts;

	final boolean refused;

	final boolean keptConnectionsLive;

	final boolean peersHeard;

	final boolean peersReach;

	final boolean peersReady;

	LinkTrouble(Predicate<UpstreamInstance> cut) {
		this(cut, true, false, false, true, true, true);
	}

	LinkTrouble(Predicate<UpstreamInstance> cut, boolean attempts, boolean refused, boolean keptConnectionsLive,
			boolean peersHeard, boolean peersReach, boolean peersReady) {
		this.cut = cut;
		this.attempts = attempts;
		this.refused = refused;
		this.keptConnectionsLive = keptConnectionsLive;
		this.peersHeard = peersHeard;
		this.peersReach = peersReach;
		this.peersReady = peersReady;
	}

	boolean losesOutcomes() {
		return this == OUTCOMES_LOST;
	}

}
