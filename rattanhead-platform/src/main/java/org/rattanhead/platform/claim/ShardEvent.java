package org.rattanhead.platform.claim;

import org.rattanhead.decision.claim.ClaimEvent;

/**
 * An event of the claims of one shard.
 *
 * @param shard the shard
 * @param event the event
 */
record ShardEvent(int shard, ClaimEvent event) {
}
