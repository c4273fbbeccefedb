package org.rattanhead.decision.catalogue;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CatalogueReducer}.
 */
class CatalogueReducerTests {

	private static final Catalogue CURRENT = Fixtures.catalogue(Fixtures.baseEntries());

	static Stream<Arguments> verdicts() {
		FailureDomainEntry out = Fixtures.domain("a", FailureDomainState.OUT);
		return Stream.of(Arguments.of("current base", put(out, 0), ""),
				Arguments.of("older base", put(out, -1), "based on offset -1"),
				Arguments.of("newer base", put(out, 7), "based on offset 7"),
				Arguments.of("new entry", put(Fixtures.domain("c", FailureDomainState.IN), -1), ""),
				Arguments.of("new entry that exists", put(Fixtures.domain("b", FailureDomainState.IN), -1), "offset 0"),
				Arguments.of("remove a referenced entry", remove(EntryKind.FAILURE_DOMAIN, "a", 0),
						"no failure-domain a"),
				Arguments.of("remove an unreferenced entry", remove(EntryKind.UPSTREAM, "e1", 0), ""),
				Arguments.of("no owner", put(new ClassEntry("x", " ", 0, 1, 1), -1), "no owner"),
				Arguments.of("malformed name", put(new ClassEntry("X y", "o", 0, 1, 1), -1), "malformed"),
				Arguments.of("deadline above maximum", put(new ClassEntry("x", "o", 0, 2, 1), -1), "below deadline"),
				Arguments.of("no region", put(new FailureDomainEntry("c", "o", "", FailureDomainState.IN), -1),
						"no region"),
				Arguments.of("key of another workspace",
						put(new WorkspaceEntry("w2", "o", "counter", Fixtures.KEY, 1, 1), -1), "same key"),
				Arguments.of("digest too short", put(new WorkspaceEntry("w2", "o", "counter", "ab", 1, 1), -1),
						"malformed"),
				Arguments.of("more cold slots than slots", put(Fixtures.engine("e9", "a", 1, 2), -1), "above slots"),
				Arguments.of("model and service",
						put(new UpstreamEntry("e9", "o", "a", "model", "orders", "127.0.0.1:1", 1, 1, 1, false), -1),
						"either"),
				Arguments.of("host name instead of an IP address",
						put(new UpstreamEntry("e9", "o", "a", "model", "", "host:1", 1, 1, 1, false), -1), "IP:PORT"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("verdicts")
	void acceptsOnlyValidEdits(String name, EntryChange change, String finding) {
		CatalogueStep step = CatalogueReducer.apply(CURRENT, 5, edit(List.of(change)));
		assertThat(step.catalogue().offset()).isEqualTo(5);
		assertThat(step.audit().verdict().accepted()).isEqualTo(finding.isEmpty());
		assertThat(step.audit().verdict().findings().toString()).contains(finding);
		if (finding.isEmpty()) {
			assertThat(step.catalogue().find(change.key())).isEqualTo(change.after());
		}
		else {
			assertThat(step.catalogue().entries()).isEqualTo(CURRENT.entries());
		}
	}

	@ParameterizedTest(name = "first edit wins: {0}")
	@MethodSource("conflictingEdits")
	void acceptsOnlyFirstOfConflictingEdits(String name, EntryChange first, EntryChange second) {
		CatalogueStep firstStep = CatalogueReducer.apply(CURRENT, 5, edit(List.of(first)));
		CatalogueStep secondStep = CatalogueReducer.apply(firstStep.catalogue(), 6, edit(List.of(second)));
		assertThat(firstStep.audit().verdict().accepted()).isTrue();
		assertThat(secondStep.audit().verdict().accepted()).isFalse();
		assertThat(secondStep.catalogue().find(first.key())).isEqualTo(first.after());
	}

	static Stream<Arguments> conflictingEdits() {
		EntryChange out = put(Fixtures.domain("a", FailureDomainState.OUT), 0);
		EntryChange in = put(Fixtures.domain("a", FailureDomainState.IN), 0);
		EntryChange created = put(Fixtures.domain("c", FailureDomainState.IN), -1);
		return Stream.of(Arguments.of("out before in", out, in), Arguments.of("in before out", in, out),
				Arguments.of("created twice", created, created));
	}

	@ParameterizedTest(name = "{0} changes")
	@MethodSource("batches")
	void appliesAllChangesOfAnEditOrNone(int count, boolean accepted) {
		List<EntryChange> changes = List.of(put(Fixtures.domain("c", FailureDomainState.IN), -1),
				put(Fixtures.domain("a", FailureDomainState.OUT), accepted ? 0 : 3));
		CatalogueStep step = CatalogueReducer.apply(CURRENT, 5, edit(changes));
		assertThat(step.catalogue().find(changes.get(0).key()).isPresent()).isEqualTo(accepted);
	}

	static Stream<Arguments> batches() {
		return Stream.of(Arguments.of(2, true), Arguments.of(2, false));
	}

	private static EntryChange put(CatalogueEntry entry, long base) {
		return new EntryChange(entry.key(), base, Optional.of(entry));
	}

	private static EntryChange remove(EntryKind kind, String name, long base) {
		return new EntryChange(new EntryKey(kind, name), base, Optional.empty());
	}

	private static CatalogueEdit edit(List<EntryChange> changes) {
		return new CatalogueEdit("id", "ana", 0, "test", changes);
	}

}
