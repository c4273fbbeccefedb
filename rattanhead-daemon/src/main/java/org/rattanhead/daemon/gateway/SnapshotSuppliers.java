package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.rattanhead.core.forward.Member;
import org.rattanhead.decision.register.MemberTable;

/**
 * Selects the daemons that are asked for the records of a stream.
 */
final class SnapshotSuppliers {

	/** The daemons asked at a time; some may not answer. */
	private static final int ASKED = 3;

	private final MemberTable table;

	private final Random random;

	SnapshotSuppliers(MemberTable table, Random random) {
		this.table = table;
		this.random = random;
	}

	/**
	 * Selects daemons, the serving ones first.
	 * @param host the host of the daemon to ask, empty text to choose a few
	 * @return the daemons
	 */
	List<Member> select(String host) {
		List<Member> candidates = this.table.find(host).map(List::of).orElseGet(this.table::serving);
		List<Member> receivers = new ArrayList<>(candidates.isEmpty() ? this.table.recipients() : candidates);
		Collections.shuffle(receivers, this.random);
		return receivers.subList(0, Math.min(ASKED, receivers.size()));
	}

}
