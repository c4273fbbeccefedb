package org.rattanhead.platform.claim;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.ClaimAnswered;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.ClaimRecord;
import org.rattanhead.core.claim.ClaimRefreshed;
import org.rattanhead.core.claim.ClaimReleased;
import org.rattanhead.core.claim.ClaimTaken;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link ClaimJson}.
 */
class ClaimJsonTests {

	static Stream<List<ClaimRecord>> batches() {
		ClaimKey key = new ClaimKey("w", "cortejo \u00e0s 9");
		RequestId request = new RequestId("r");
		KeptAnswer answer = new KeptAnswer(201, "application/json", Payload.of("{}"));
		return Stream.of(List.of(), List.of(new ClaimTaken(key, "d", request)),
				List.of(new ClaimReleased(key, request), new ClaimAnswered(key, request, answer),
						new ClaimRefreshed(key, "d", request, Optional.of(answer), 7),
						new ClaimRefreshed(key, "d", request, Optional.empty(), 8)));
	}

	@ParameterizedTest
	@MethodSource("batches")
	void keepsEveryField(List<ClaimRecord> batch) {
		assertThat(ClaimJson.decode(ClaimJson.encode(batch))).isEqualTo(batch);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[{}]", "[{\"type\":\"other\"}]", "[{\"type\":\"taken\",\"key\":\"k\"}]" })
	void rejectsMalformedRecords(String record) {
		assertThatExceptionOfType(RemedyException.class).isThrownBy(() -> ClaimJson.decode(Payload.of(record)));
	}

}
