package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.problem.RemedyException;

/**
 * The newest records read so far, page by page.
 */
final class CollectedPages {

	private final RecordBudget budget;

	private final List<KeyedRecord> records = new ArrayList<>();

	CollectedPages(RecordBudget budget) {
		this.budget = budget;
	}

	/**
	 * Adds a page.
	 * @param page the page
	 * @throws RemedyException if the pages have no end; nothing is collected then
	 */
	void add(KeyedPage page) {
		boolean endless = page.more() && page.records().isEmpty();
		for (KeyedRecord record : page.records()) {
			endless |= !this.budget.reserve(RecordBudget.size(record));
		}
		if (endless) {
			clear();
			throw new RemedyException("The pages of the newest records have no end within " + this.budget,
					"check the store and who writes to the topic");
		}
		this.records.addAll(page.records());
	}

	String lastKey() {
		return this.records.isEmpty() ? "" : this.records.get(this.records.size() - 1).key();
	}

	List<KeyedRecord> take() {
		List<KeyedRecord> taken = List.copyOf(this.records);
		clear();
		return taken;
	}

	void clear() {
		this.records.clear();
		this.budget.clear();
	}

}
