package org.rattanhead.decision.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Where a request goes after an instance failed it.
 */
class RetryPlacementTests {

	// Guards against a request that fails because the only other instances failed other
	// requests a moment ago.
	@ParameterizedTest(name = "{0} instances, status {1}")
	@CsvSource({ "2, 500", "2, 502", "3, 500" })
	void retriesOnRecentlyFailedInstanceIfThereIsNoOther(int instances, int status) {
		ForwardRig rig = ForwardRig.configured(0, instances);
		for (int failed = 0; failed < instances - 1; failed++) {
			rig.submit("/order/", 0, ForwardRig.KEY, failed);
			rig.failAttempt(rig.lastAttempt(), AttemptFault.BROKEN);
		}
		rig.submit("/look/", 0, ForwardRig.KEY, 99);
		String first = rig.lastCall().call().instance().id();
		rig.answer(rig.lastAttempt(), status, AnswerVerdict.RUN, false);
		assertThat(rig.all(CallInstance.class)).hasSize(instances + 1);
		assertThat(rig.lastCall().call().instance().id()).isNotEqualTo(first);
	}

}
