package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.UpstreamInstance;

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

	// Guards against a request that uses up its attempts at the addresses of a failure
	// domain whose instances were all restarted.
	@ParameterizedTest(name = "{0} instances in each of {1} failure domains")
	@CsvSource({ "5, 2", "8, 3", "6, 1" })
	void leavesFailureDomainWithRestartedInstances(int instances, int domains) {
		ForwardRig rig = ForwardRig.configured(0, 0);
		List<UpstreamInstance> registered = new ArrayList<>();
		for (int index = 0; index < instances * domains; index++) {
			registered.add(ForwardRig.instance("o" + index, ForwardRig.ORDERS, index / instances, false));
		}
		rig.handle(new InstancesChanged(registered));
		rig.submit("/look/");
		String domain = rig.lastCall().call().instance().failureDomain();
		rig.answer(rig.lastAttempt(), 421, AnswerVerdict.WRONG_INSTANCE, false);
		assertThat(rig.all(CallInstance.class)).hasSize(2);
		assertThat(rig.lastCall().call().instance().failureDomain().equals(domain)).isEqualTo(domains == 1);
	}

}
