package org.rattanhead.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A part of prompts under which instances close their connections, on real sockets.
 */
class FatalPartEndToEndTests {

	private static final int INSTANCES = 8;

	/**
	 * Guards against BUDGET: gateways sent prompts with the part on and on, and again
	 * after all of them had started anew.
	 */
	@ParameterizedTest(name = "parts {0}")
	@CsvSource(delimiter = '|', value = { "aa:10,dead:5,", "dead:5,", "aa:10,bb:4,dead:5,cc:1," })
	void refusesPromptsWithAFatalPartAlsoAfterAStart(String parts) throws Exception {
		try (GatewayRig rig = new GatewayRig(INSTANCES, FatalPartEndToEndTests::answer)) {
			for (int prompt = 0; prompt < 4; prompt++) {
				assertThat(rig.call(prompt("f" + prompt, parts + prompt + ":1"))).doesNotStartWith("HTTP/1.1 200");
				assertThat(rig.call(prompt("s" + prompt, "aa:10,bb:4,cc:1," + prompt + ":1"))).endsWith("right");
			}
			int before = fatalCount(rig);
			assertThat(before).isEqualTo(3);
			assertThat(rig.call(prompt("f9", parts + "9:1"))).startsWith("HTTP/1.1 503").contains("dead");
			// The write of the record has to reach the store before the gateway ends.
			TimeUnit.MILLISECONDS.sleep(300);
			rig.gateway.close();
			try (Gateway next = rig.startAnother(); RawCaller caller = rig.anotherCaller()) {
				assertThat(caller.send(prompt("f10", parts + "10:1")).answer()).startsWith("HTTP/1.1 503");
				assertThat(caller.send(prompt("s10", "aa:10,bb:4,10:1")).answer()).endsWith("right");
				assertThat(next.openCalls()).isZero();
			}
			assertThat(fatalCount(rig)).isEqualTo(before);
		}
	}

	/**
	 * Guards against a gateway that is ready before it has read the stored suspects: it
	 * sent a prompt with the part, and answered 502 when it read the record.
	 */
	@ParameterizedTest(name = "records of daemons read after {0} ms")
	@ValueSource(longs = { 200, 500 })
	void waitsForStoredSuspectsBeforeItIsReady(long delayMillis) throws Exception {
		try (GatewayRig rig = new GatewayRig(INSTANCES, FatalPartEndToEndTests::answer)) {
			rig.store.put(GatewayRig.MEMBERS, SuspectRecordCodec.key(0xdead), SuspectRecordCodec.BLOCKED.text());
			rig.store.server().setScript((request) -> {
				boolean delayed = request.target().contains("newest")
						&& request.parameter("Topic").equals(GatewayRig.MEMBERS);
				RawAnswer answer = rig.store.serve(request);
				return delayed ? answer.delayedBy(delayMillis) : answer;
			});
			// It would report the suspect to the next one.
			rig.gateway.close();
			try (Gateway next = rig.startAnother(); RawCaller caller = rig.anotherCaller()) {
				assertThat(caller.send(prompt("f1", "dead:5,1:1")).answer()).startsWith("HTTP/1.1 503");
				assertThat(next.openCalls()).isZero();
			}
			assertThat(fatalCount(rig)).isZero();
		}
	}

	private static RawAnswer answer(RawRequest request) {
		return request.header("X-Prompt-Prefix").contains("dead") ? RawAnswer.connectionClose()
				: GatewayRig.signed(request, "right");
	}

	private static String prompt(String attempt, String parts) {
		return RawCaller.request("POST", "/ask/a", attempt, "prompt " + attempt, "X-Prompt-Prefix: " + parts);
	}

	private static int fatalCount(GatewayRig rig) {
		return (int) rig.receivedRequests()
			.stream()
			.filter((request) -> request.header("X-Prompt-Prefix").contains("dead"))
			.count();
	}

}
