package org.rattanhead.decision.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.ReportedCrash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which suspects are blocked, after which crashes and answers.
 */
class CrashSuspectsTests {

	private static final long SUSPECT = 7;

	private static final long OTHER = 8;

	private final CrashSuspects suspects = new CrashSuspects();

	@ParameterizedTest(name = "own {0}, peers {1} and {2}: {3}")
	@CsvSource({ "2, 0, 0, false", "3, 0, 0, true", "1, 1, 1, true", "0, 2, 0, false", "0, 2, 1, true" })
	void countsCrashesOfAllDaemons(int own, int first, int second, boolean blocked) {
		crash(SUSPECT, 0, own, 0);
		this.suspects.receive(List.of(report(SUSPECT, 10, first, 0), report(OTHER, 100, 9, 0)), 0);
		this.suspects.receive(List.of(report(SUSPECT, 20, second, 0)), 0);
		assertThat(blocked(SUSPECT, 0)).isEqualTo(blocked);
	}

	/** Guards against counting one crash for each daemon and attempt that it broke. */
	@ParameterizedTest(name = "{0} attempts at this daemon, {1} at others")
	@CsvSource({ "5, 0", "1, 4", "0, 16", "11, 16" })
	void countsOneCrashOnce(int own, int others) {
		IntStream.range(0, own).forEach((attempt) -> crash(SUSPECT, 1, 1, attempt));
		IntStream.range(0, others)
			.forEach((daemon) -> this.suspects.receive(List.of(report(SUSPECT, 1, 1, 3 * daemon)), Millis.toNanos(50)));
		assertThat(this.suspects.count(List.of(SUSPECT))).isEqualTo(1);
		assertThat(blocked(SUSPECT, 50)).isFalse();
	}

	/** Guards against blocking what many attempts share when a host is lost. */
	@ParameterizedTest(name = "{0} instances crash in {1} ms: blocked {2}")
	@CsvSource({ "3, 0, false", "20, 80, false", "3, 300, true" })
	void countsSimultaneousCrashesOfAnsweredSuspectOnce(int instances, long withinMillis, boolean blocked) {
		this.suspects.answered(List.of(SUSPECT), 0, 0);
		for (int instance = 0; instance < instances; instance++) {
			crash(SUSPECT, instance, 1, 1_000 + withinMillis * instance / Math.max(1, instances - 1));
		}
		assertThat(blocked(SUSPECT, 2_000)).isEqualTo(blocked);
	}

	/** Guards against refusing the neighbours of a request that crashes instances. */
	@ParameterizedTest(name = "the neighbour was answered before: {0}")
	@ValueSource(booleans = { true, false })
	void blocksOnlyTheSuspectThatIsInAllCrashes(boolean answeredBefore) {
		if (answeredBefore) {
			this.suspects.answered(List.of(OTHER), 0, 0);
		}
		for (int crash = 0; crash < 3; crash++) {
			List<Long> keys = new ArrayList<>(List.of(SUSPECT));
			if (answeredBefore || crash > 0) {
				keys.add(OTHER);
			}
			this.suspects.crashed(keys, crash, Millis.toNanos(1_000 + 200L * crash));
		}
		crash(OTHER, 2, 1, 1_405);
		assertThat(blocked(SUSPECT, 2_000)).isTrue();
		assertThat(blocked(OTHER, 2_000)).isFalse();
		assertThat(this.suspects.count(List.of(OTHER))).isZero();
	}

	@ParameterizedTest(name = "an answer that began at {0} ms, crashes at 1000, 1200 and 1400 ms: blocked {1}")
	@CsvSource({ "900, true", "1100, false", "1300, false", "1500, false" })
	void forgetsCrashesBeforeAnAnswer(long answerMillis, boolean blocked) {
		for (int crash = 0; crash < 3; crash++) {
			long atMillis = 1_000 + 200L * crash;
			if (answerMillis < atMillis) {
				this.suspects.answered(List.of(SUSPECT), Millis.toNanos(answerMillis), Millis.toNanos(atMillis));
			}
			crash(SUSPECT, crash, 1, atMillis);
		}
		this.suspects.answered(List.of(SUSPECT), Millis.toNanos(answerMillis), Millis.toNanos(1_600));
		assertThat(blocked(SUSPECT, 2_000)).isEqualTo(blocked);
	}

	@ParameterizedTest(name = "{0} ms after the last crash: blocked {1}")
	@CsvSource({ "59000, true", "61000, false" })
	void endsABlockAfterItsTime(long afterMillis, boolean blocked) {
		crash(SUSPECT, 0, 3, 0);
		this.suspects.expire(Millis.toNanos(afterMillis));
		assertThat(blocked(SUSPECT, afterMillis)).isEqualTo(blocked);
		crash(SUSPECT, 9, 1, afterMillis + 1);
		assertThat(blocked(SUSPECT, afterMillis + 1)).as("after one more crash").isTrue();
	}

	@ParameterizedTest(name = "{0} relays")
	@ValueSource(ints = { 1, 3 })
	void passesBlocksOn(int relays) {
		crash(SUSPECT, 0, 3, 0);
		CrashSuspects source = this.suspects;
		for (int relay = 1; relay <= relays; relay++) {
			CrashSuspects next = new CrashSuspects();
			next.receive(source.reports(Millis.toNanos(100L * relay)), Millis.toNanos(100L * relay));
			source = next;
		}
		assertThat(source.findBlocked(List.of(OTHER, SUSPECT), Millis.toNanos(1_000))).contains(SUSPECT);
		assertThat(source.findBlocked(List.of(SUSPECT), Millis.toNanos(70_000))).isEmpty();
	}

	@ParameterizedTest(name = "answered {0} ms before the record is read: blocked {1}")
	@CsvSource({ "-1, true", "500, false", "10000, true" })
	void blocksWhatAnEarlierIncarnationStored(long answeredAgoMillis, boolean blocked) {
		long nowNanos = Millis.toNanos(20_000);
		if (answeredAgoMillis >= 0) {
			this.suspects.answered(List.of(SUSPECT), nowNanos - Millis.toNanos(answeredAgoMillis), nowNanos);
		}
		this.suspects.restore(List.of(SUSPECT), nowNanos);
		assertThat(blocked(SUSPECT, 20_000)).isEqualTo(blocked);
	}

	@ParameterizedTest(name = "{0} suspects")
	@ValueSource(ints = { 100, 20_000 })
	void boundsMemoryAndReports(int count) {
		crash(SUSPECT, 0, 3, 0);
		for (int key = 0; key < count; key++) {
			this.suspects.crashed(List.of(1_000L + key), key, Millis.toNanos(1_000));
			this.suspects.answered(List.of(100_000L + key), 0, 0);
		}
		List<CrashReport> reports = this.suspects.reports(Millis.toNanos(1_000));
		assertThat(reports).hasSizeLessThanOrEqualTo(32);
		assertThat(reports.get(0).suspect()).isEqualTo(SUSPECT);
	}

	private void crash(long key, int firstInstance, int instances, long atMillis) {
		for (int index = 0; index < instances; index++) {
			this.suspects.crashed(List.of(key), firstInstance + index, Millis.toNanos(atMillis));
		}
	}

	private boolean blocked(long key, long atMillis) {
		return this.suspects.findBlocked(List.of(key), Millis.toNanos(atMillis)).isPresent();
	}

	private static CrashReport report(long key, int firstInstance, int instances, long ageMillis) {
		List<ReportedCrash> crashes = IntStream.range(firstInstance, firstInstance + instances)
			.mapToObj((instance) -> new ReportedCrash(instance, ageMillis))
			.toList();
		return new CrashReport(key, crashes, OptionalLong.empty(), 0);
	}

}
