package org.rattanhead.decision.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests for which no connection can be established.
 */
class UnsentRequestTests {

	/**
	 * Guards against RECOVER: 504 for a request of which nothing was sent, which its
	 * caller must not repeat.
	 */
	@ParameterizedTest(name = "{0}, {1} ms to its deadline")
	@CsvSource({ "/order/, 100", "/order/, 300", "/order/, 500", "/order/, 900", "/order/, 1000", "/order/, 1300",
			"/look/, 300", "/look/, 1000" })
	void refusesAsNotRunWhatWasNeverSent(String path, long deadlineMillis) {
		ForwardRig rig = ForwardRig.configured(0, 6);
		rig.submitWithin(path, deadlineMillis);
		for (int call = 0; call < rig.all(CallInstance.class).size(); call++) {
			CallInstance command = rig.all(CallInstance.class).get(call);
			rig.advance(command.connectMillis());
			rig.failAttempt(command.call().attempt(), AttemptFault.NOT_SENT);
		}
		rig.advance(deadlineMillis);
		Problem problem = rig.last(RefuseRequest.class).problem();
		assertThat(problem.execution()).isEqualTo(Execution.NOT_RUN);
		assertThat(problem.retryAfterMillis()).isPositive();
	}

}
