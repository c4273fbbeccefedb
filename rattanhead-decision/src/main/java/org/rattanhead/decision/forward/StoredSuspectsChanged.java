package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Records of blocked suspects were read from the store.
 *
 * @param stored the suspects whose records were written
 * @param deleted the suspects whose records were deleted
 */
public record StoredSuspectsChanged(List<Long> stored, List<Long> deleted) implements ForwardEvent {
}
