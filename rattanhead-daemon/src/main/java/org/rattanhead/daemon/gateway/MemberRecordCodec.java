package org.rattanhead.daemon.gateway;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.host.HostAddress;

/**
 * Encodes and decodes the announcement of a daemon in the store: start time, callers'
 * address, mesh address and processor time, separated by spaces. Earlier versions write
 * no processor time.
 */
final class MemberRecordCodec {

	private static final String SEPARATOR = " ";

	private static final Pattern RECORD = Pattern.compile("(\\d{1,18}) (\\S+) (\\S+)(?: (\\d{1,9}))?");

	private MemberRecordCodec() {
	}

	static Payload encode(Member member) {
		return Payload.of(String.join(SEPARATOR, Long.toString(member.startedMillis()), member.callersAddress(),
				member.meshAddress(), Integer.toString(member.processorMillicores())));
	}

	static Optional<Member> decode(String host, Payload value) {
		Matcher fields = RECORD.matcher(value.text());
		if (!fields.matches() || !HostAddress.valid(fields.group(2)) || !HostAddress.valid(fields.group(3))) {
			return Optional.empty();
		}
		int processorMillicores = (fields.group(4) != null) ? Integer.parseInt(fields.group(4)) : 0;
		return Optional.of(new Member(host, Long.parseLong(fields.group(1)), fields.group(2), fields.group(3),
				processorMillicores));
	}

}
