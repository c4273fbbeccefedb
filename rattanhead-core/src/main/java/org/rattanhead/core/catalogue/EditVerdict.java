package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * The result of validating an edit; the same for every reader of the log.
 *
 * @param accepted whether the edit takes effect
 * @param findings the reasons for the rejection, empty if accepted
 */
public record EditVerdict(boolean accepted, List<Finding> findings) {

	/** The verdict on an edit that takes effect. */
	public static final EditVerdict ACCEPTED = new EditVerdict(true, List.of());

	/**
	 * Creates the verdict on a rejected edit.
	 * @param findings the reasons
	 * @return the verdict
	 */
	public static EditVerdict rejected(List<Finding> findings) {
		return new EditVerdict(false, List.copyOf(findings));
	}

}
