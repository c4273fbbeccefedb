package org.rattanhead.core.forward;

import java.util.List;
import java.util.OptionalLong;

/**
 * The periodic heartbeat that a daemon sends to other daemons.
 *
 * @param member the daemon
 * @param ready whether callers may use it
 * @param serving whether its address is published to callers
 * @param configurationVersion the version of its active configuration
 * @param load all work it has placed
 * @param crashes the requests that recently crashed instances
 * @param servingMembers the serving daemons that the sender receives heartbeats from, for
 * standby daemons
 * @param limits the limits that instances have named
 * @param contactAgeMillis the time since an instance last answered the daemon, in
 * milliseconds; empty if none has or the sender does not report it
 */
public record MemberHeartbeat(Member member, boolean ready, boolean serving, long configurationVersion,
		List<LoadEntry> load, List<CrashReport> crashes, List<Member> servingMembers, List<LimitReport> limits,
		OptionalLong contactAgeMillis) {

	/**
	 * Creates a heartbeat that says nothing of instances.
	 * @param member the daemon
	 * @param ready whether callers may use it
	 * @param serving whether its address is published to callers
	 * @param configurationVersion the version of its active configuration
	 * @param load all work it has placed
	 * @param crashes the requests that recently crashed instances
	 * @param servingMembers the serving daemons that the sender receives heartbeats from
	 */
	public MemberHeartbeat(Member member, boolean ready, boolean serving, long configurationVersion,
			List<LoadEntry> load, List<CrashReport> crashes, List<Member> servingMembers) {
		this(member, ready, serving, configurationVersion, load, crashes, servingMembers, List.of(),
				OptionalLong.empty());
	}

	/**
	 * Returns a copy of this heartbeat that lists serving daemons.
	 * @param members the daemons
	 * @return the heartbeat
	 */
	public MemberHeartbeat withServingMembers(List<Member> members) {
		return new MemberHeartbeat(this.member, this.ready, this.serving, this.configurationVersion, this.load,
				this.crashes, members, this.limits, this.contactAgeMillis);
	}

}
