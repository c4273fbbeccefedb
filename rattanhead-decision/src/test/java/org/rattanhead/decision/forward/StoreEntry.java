package org.rattanhead.decision.forward;

import java.util.List;
import java.util.function.Consumer;

import org.rattanhead.core.forward.UpstreamInstance;

/**
 * What the store says of instances after one of them has spoken of itself, on a rig with
 * one engine and two plain instances.
 */
enum StoreEntry {

	/** The store is down, or nothing changed. */
	UNCHANGED(false, (rig) -> {
	}),

	/** All entries are deleted and written again. */
	READY_AGAIN(false, (rig) -> {
		rig.handle(new InstancesChanged(List.of()));
		rig.handle(new InstancesChanged(ForwardRig.instances(1, 2)));
	}),

	/** An entry of an earlier start is read late. */
	OLDER_INCARNATION(false, (rig) -> rig.handle(new InstancesChanged(withIncarnation(0)))),

	/** The instance has started again. */
	NEWER_INCARNATION(true, (rig) -> rig.handle(new InstancesChanged(withIncarnation(2))));

	private final boolean restarted;

	private final Consumer<ForwardRig> change;

	StoreEntry(boolean restarted, Consumer<ForwardRig> change) {
		this.restarted = restarted;
		this.change = change;
	}

	boolean restarted() {
		return this.restarted;
	}

	void apply(ForwardRig rig) {
		this.change.accept(rig);
	}

	private static List<UpstreamInstance> withIncarnation(long incarnation) {
		return ForwardRig.instances(1, 2)
			.stream()
			.map((instance) -> new UpstreamInstance(instance.id(), instance.service(), instance.address(),
					instance.failureDomain(), instance.slots(), instance.draining(), instance.coldRemainingMillis(),
					instance.id().endsWith("0") ? incarnation : instance.incarnation()))
			.toList();
	}

}
