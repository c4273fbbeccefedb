package org.rattanhead.decision.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostList;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link MembershipDecider}.
 */
class MembershipDeciderTests {

	private static final MembershipEvent THREE_DAEMONS_LISTED = new HostListReceived(new HostList(
			List.of(Fixtures.entryHost("da", "a"), Fixtures.entryHost("db", "b"), Fixtures.entryHost("dc", "b"))));

	static Stream<Arguments> eventSequences() {
		Host leaving = new Host("dc", HostRole.ENTRY, HostState.LEAVING, "b", "127.0.0.1:1", "127.0.0.1:2");
		MembershipEvent dcLeaves = new HostListReceived(
				new HostList(List.of(Fixtures.entryHost("da", "a"), Fixtures.entryHost("db", "b"), leaving)));
		return Stream.of(Arguments.of("no list", List.of(new LinkUp("db")), 0, List.of()),
				Arguments.of("not settled", List.of(THREE_DAEMONS_LISTED, new LinkUp("db")), 0, List.of()),
				Arguments.of("all linked", List.of(THREE_DAEMONS_LISTED, new LinkUp("db"), new LinkUp("dc")), 0,
						List.of("da", "db", "dc")),
				Arguments.of("settled after the settling time", List.of(THREE_DAEMONS_LISTED, new LinkUp("db")), 3,
						List.of("da", "db")),
				Arguments.of("link lost",
						List.of(THREE_DAEMONS_LISTED, new LinkUp("db"), new LinkUp("dc"), new LinkDown("db")), 0,
						List.of("da", "dc")),
				Arguments.of("link restored",
						List.of(THREE_DAEMONS_LISTED, new LinkUp("db"), new LinkUp("dc"), new LinkDown("db"),
								new LinkUp("db")),
						0, List.of("da", "db", "dc")),
				Arguments.of("goodbye",
						List.of(THREE_DAEMONS_LISTED, new LinkUp("db"), new LinkUp("dc"), new GoodbyeReceived("db")), 0,
						List.of("da", "dc")),
				Arguments.of("own goodbye",
						List.of(THREE_DAEMONS_LISTED, new LinkUp("db"), new LinkUp("dc"), new GoodbyeReceived("da")), 0,
						List.of("db", "dc")),
				Arguments.of("listed as leaving",
						List.of(THREE_DAEMONS_LISTED, new LinkUp("db"), new LinkUp("dc"), dcLeaves), 0,
						List.of("da", "db")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("eventSequences")
	void determinesLiveDaemons(String name, List<MembershipEvent> events, long elapsedSeconds,
			List<String> expectedMembers) {
		MembershipDecider decider = new MembershipDecider("da");
		List<MembershipEvent> all = new ArrayList<>(events);
		all.forEach((event) -> decider.decide(event, 0));
		Membership membership = decider.decide(new MembershipTick(), elapsedSeconds * Fixtures.SECOND);
		assertThat(membership.members()).extracting(Host::name).containsExactlyElementsOf(expectedMembers);
	}

}
