package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.rattanhead.decision.balance.WorkByServer;

/**
 * Reports how evenly the work of each service is spread.
 */
final class BalanceReports {

	private BalanceReports() {
	}

	static List<ReportBalance> of(Collection<InstanceLoad> instances) {
		Map<String, List<Integer>> work = new TreeMap<>();
		instances.forEach((load) -> work.computeIfAbsent(load.instance().service(), (name) -> new ArrayList<>())
			.add(load.running()));
		return work.entrySet()
			.stream()
			.map((entry) -> new ReportBalance(entry.getKey(), WorkByServer.peakToMean(entry.getValue())))
			.toList();
	}

}
