package org.rattanhead.platform.catalogue;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.ServiceEntry;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CatalogueCodec}.
 */
class CatalogueCodecTests {

	static Stream<CatalogueEntry> entries() {
		return Stream.of(new ClassEntry("c", "o", 1, 2, 3),
				new FailureDomainEntry("d", "o", "r", FailureDomainState.OUT), new ModelEntry("m", "o", 1, 2),
				new ServiceEntry("s", "o", List.of("/a", "/b")), new WorkspaceEntry("w", "o", "c", "ab", 1, 2),
				new UpstreamEntry("u", "o", "d", "m", "", "127.0.0.1:1", 1, 2, 3, true));
	}

	@ParameterizedTest
	@MethodSource("entries")
	void keepsEveryField(CatalogueEntry entry) {
		CatalogueEdit edit = new CatalogueEdit("id", "ana", 7, "why",
				List.of(new EntryChange(entry.key(), 3, Optional.of(entry)),
						new EntryChange(entry.key(), 4, Optional.empty())));
		assertThat(CatalogueCodec.decode(CatalogueCodec.encode(edit))).contains(edit);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "[]", "{}", "{\"type\":\"edit\"}", "{\"type\":\"other\"}",
			"{\"type\":\"edit\",\"id\":\"i\",\"author\":\"a\",\"atMillis\":0,\"reason\":\"\",\"changes\":[{\"kind\":\"x\"}]}",
			"{\"type\":\"edit\",\"id\":\"i\",\"author\":\"a\",\"atMillis\":0,\"reason\":\"\",\"changes\":[{\"kind\":"
					+ "\"class\",\"name\":\"c\",\"baseOffset\":-1,\"after\":{\"name\":\"c\"}}]}" })
	void ignoresMalformedRecords(String record) {
		assertThat(CatalogueCodec.decode(Payload.of(record))).isEmpty();
	}

}
