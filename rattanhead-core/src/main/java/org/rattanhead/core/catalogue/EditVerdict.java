package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * What every reader of the log concludes about an edit.
 *
 * @param accepted whether the edit is in force
 * @param findings why it was rejected; empty if accepted
 */
public record EditVerdict(boolean accepted, List<Finding> findings) {

	/** The verdict on an edit that takes effect. */
	public static final EditVerdict ACCEPTED = new EditVerdict(true, List.of());

	/**
	 * Rejects an edit.
	 * @param findings the reasons
	 * @return the verdict
	 */
	public static EditVerdict rejected(List<Finding> findings) {
		return new EditVerdict(false, List.copyOf(findings));
	}

}
