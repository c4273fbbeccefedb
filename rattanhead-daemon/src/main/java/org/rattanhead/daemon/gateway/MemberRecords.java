package org.rattanhead.daemon.gateway;

import java.util.Optional;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.host.HostAddress;

/**
 * Encodes and decodes the announcement of a daemon in the store: start time, callers'
 * address and mesh address, separated by spaces.
 */
final class MemberRecords {

	private static final String SEPARATOR = " ";

	private static final int PARTS = 3;

	private MemberRecords() {
	}

	static Payload encode(Member member) {
		return Payload.of(String.join(SEPARATOR, Long.toString(member.startedMillis()), member.callersAddress(),
				member.meshAddress()));
	}

	static Optional<Member> decode(String host, Payload value) {
		String[] parts = value.text().split(SEPARATOR);
		if (parts.length != PARTS || !HostAddress.valid(parts[1]) || !HostAddress.valid(parts[2])
				|| !parts[0].chars().allMatch(Character::isDigit)) {
			return Optional.empty();
		}
		return Optional.of(new Member(host, Long.parseLong(parts[0]), parts[1], parts[2]));
	}

}
