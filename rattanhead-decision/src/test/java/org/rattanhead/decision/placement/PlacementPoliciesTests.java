package org.rattanhead.decision.placement;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlacementPolicies}.
 */
class PlacementPoliciesTests {

	static Stream<Arguments> choices() {
		List<Candidate> busy = List.of(candidate("a", true, 900, 1), candidate("b", true, 100, 5),
				candidate("c", false, 0, 0));
		List<Candidate> unusable = List.of(candidate("a", false, 0, 0));
		return Stream.of(Arguments.of("least work", PlacementPolicies.leastWork(), busy, "b"),
				Arguments.of("least outstanding", PlacementPolicies.leastOutstanding(), busy, "a"),
				Arguments.of("round robin", PlacementPolicies.roundRobin(), busy, "a"),
				Arguments.of("least work, none usable", PlacementPolicies.leastWork(), unusable, ""),
				Arguments.of("least outstanding, none usable", PlacementPolicies.leastOutstanding(), unusable, ""),
				Arguments.of("round robin, none usable", PlacementPolicies.roundRobin(), unusable, ""));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("choices")
	void choosesExpectedUpstream(String name, PlacementPolicy policy, List<Candidate> candidates, String expected) {
		Optional<Candidate> chosen = policy.choose(source(candidates), new Random(1));
		assertThat(chosen.map((candidate) -> candidate.upstream().name()).orElse("")).isEqualTo(expected);
	}

	private static Candidate candidate(String name, boolean usable, long tokens, int requests) {
		return new Candidate(Fixtures.engine(name, "a", 1, 1), "d", usable, tokens, requests);
	}

	private static CandidateSource source(List<Candidate> candidates) {
		return new CandidateSource() {
			@Override
			public int size() {
				return candidates.size();
			}

			@Override
			public Candidate get(int index) {
				return candidates.get(index);
			}
		};
	}

}
