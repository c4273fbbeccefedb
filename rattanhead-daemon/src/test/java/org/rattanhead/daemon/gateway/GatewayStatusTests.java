package org.rattanhead.daemon.gateway;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What the readiness and directory pages report.
 */
class GatewayStatusTests {

	/**
	 * Guards against RECOVER: a directory that names a gateway that reaches no instance.
	 */
	@ParameterizedTest(name = "stranded {0}, others {1}: ready {2}, addresses {3}")
	@CsvSource({ "false, 0, true, 10.0.0.1:1", "false, 1, true, 10.0.0.1:1 10.0.0.2:1", "true, 1, false, 10.0.0.2:1",
			"true, 0, false, ''" })
	void leavesOutAStrandedGateway(boolean stranded, int others, boolean ready, String addresses) {
		GatewayStatus status = new GatewayStatus(new Member("self", 1, "10.0.0.1:1", "10.0.0.1:2", 0));
		status.markConfigured();
		status.markInstancesLoaded();
		status.markMembersLoaded();
		status.updateServing(true,
				(others > 0) ? List.of(new Member("other", 1, "10.0.0.2:1", "10.0.0.2:2", 0)) : List.of());
		status.updateStranded(stranded);
		assertThat(status.ready()).isEqualTo(ready);
		assertThat(String.join(" ", status.addresses())).isEqualTo(addresses);
	}

}
