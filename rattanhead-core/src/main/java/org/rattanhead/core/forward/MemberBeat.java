package org.rattanhead.core.forward;

import java.util.List;

/**
 * What a daemon tells the others at a fixed period.
 *
 * @param member the daemon
 * @param ready whether callers may use it
 * @param serving whether it is one of the daemons that are named to callers
 * @param configurationVersion the version it has in force
 * @param load all work it has placed
 * @param crashes the requests that broke instances lately
 * @param named the serving daemons that the sender hears, for daemons that stand by
 */
public record MemberBeat(Member member, boolean ready, boolean serving, long configurationVersion, List<LoadEntry> load,
		List<CrashReport> crashes, List<Member> named) {

	/**
	 * Returns this beat with the serving daemons that its sender hears.
	 * @param members the daemons
	 * @return the beat
	 */
	public MemberBeat naming(List<Member> members) {
		return new MemberBeat(this.member, this.ready, this.serving, this.configurationVersion, this.load, this.crashes,
				members);
	}

}
