package org.rattanhead.decision.claim;

import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.host.Host;
import org.rattanhead.decision.placement.Rendezvous;

/**
 * Assigns keys to shards, and each shard to one live daemon that writes its claims. One
 * writer for each shard keeps the number of appends independent of the number of daemons.
 */
public final class ClaimPlacement {

	/** The number of shards. All daemons must agree on it. */
	public static final int SHARDS = 4;

	private ClaimPlacement() {
	}

	/**
	 * Returns the shard of a key.
	 * @param key the key
	 * @return from 0 to {@link #SHARDS}, exclusive
	 */
	public static int shard(ClaimKey key) {
		long hash = Hashing.komihash5_0().hashStream().putString(key.workspace()).putString(key.key()).getAsLong();
		return Math.floorMod(hash, SHARDS);
	}

	/**
	 * Finds the daemon that writes the claims of a shard.
	 * @param shard the shard
	 * @param members the live daemons
	 * @return the daemon, empty if there is none
	 */
	public static Optional<Host> writer(int shard, List<Host> members) {
		return Rendezvous.highest("claims-" + shard, members, (host) -> true);
	}

}
