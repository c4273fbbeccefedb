package org.rattanhead.daemon.gateway;

import java.util.Optional;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.host.HostAddress;

/**
 * Encodes and decodes the announcement of a daemon in the store: start time, callers'
 * address and mesh address, separated by spaces.
 */
final class MemberRecordCodec {

	private static final String SEPARATOR = " ";

	private static final int FIELD_COUNT = 3;

	private MemberRecordCodec() {
	}

	static Payload encode(Member member) {
		return Payload.of(String.join(SEPARATOR, Long.toString(member.startedMillis()), member.callersAddress(),
				member.meshAddress()));
	}

	static Optional<Member> decode(String host, Payload value) {
		String[] fields = value.text().split(SEPARATOR);
		if (fields.length != FIELD_COUNT || !HostAddress.valid(fields[1]) || !HostAddress.valid(fields[2])
				|| !fields[0].chars().allMatch(Character::isDigit)) {
			return Optional.empty();
		}
		return Optional.of(new Member(host, Long.parseLong(fields[0]), fields[1], fields[2]));
	}

}
