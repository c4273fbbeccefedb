package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.ServiceShare;
import org.rattanhead.core.forward.WorkspaceGrant;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.problem.ProblemKind;

/**
 * Checks a request against the configuration in force and finds its route and service.
 */
final class ForwardAdmission {

	/** These refusals have nothing to do with capacity. */
	private static final long RETRY_AFTER_MILLIS = 300;

	private final ForwardState state;

	ForwardAdmission(ForwardState state) {
		this.state = state;
	}

	/**
	 * Admits a request.
	 * @param request the request
	 * @param viaPeer whether another daemon passed it on
	 * @param nowNanos the time on the monotonic clock
	 * @return the request in progress
	 * @throws ProblemException if it is refused
	 */
	Forwarding admit(ForwardRequest request, boolean viaPeer, long nowNanos) {
		RouteTable routes = this.state.routes()
			.orElseThrow(() -> refusal(ProblemKind.CATALOGUE_UNAVAILABLE, "No configuration has been loaded yet."));
		if (this.state.refusesNew()) {
			throw refusal(ProblemKind.SHUTTING_DOWN, "The daemon is shutting down.");
		}
		Configuration configuration = routes.configuration();
		if (request.body().length() > configuration.maxBodyBytes()) {
			throw new ProblemException(Problem.notRun(ProblemKind.BODY_TOO_LARGE,
					"The body exceeds " + configuration.maxBodyBytes() + " bytes."));
		}
		Route route = routes.find(request.host(), request.path())
			.orElseThrow(() -> new ProblemException(
					Problem.notRun(ProblemKind.UNKNOWN_PATH, "No route of the host serves this path.")));
		Optional<WorkspaceGrant> grant = request.key().map((key) -> configuration.grants().get(key));
		String workspace = workspace(configuration, route, grant);
		Optional<Long> blocked = this.state.suspects().findBlocked(request.crashKeys(), nowNanos);
		if (blocked.isPresent()) {
			throw new ProblemException(CrashRules.problem(blocked.get()));
		}
		ServiceLimits service = service(configuration, route);
		return new Forwarding(request, new RequestPolicy(route, service, workspace,
				routes.ranks().find(service.name(), route, grant), viaPeer), nowNanos);
	}

	private static String workspace(Configuration configuration, Route route, Optional<WorkspaceGrant> grant) {
		Optional<String> workspace = grant.map(WorkspaceGrant::workspace);
		if (route.open() || !configuration.keysRequired()) {
			return workspace.orElse("");
		}
		return workspace.orElseThrow(() -> new ProblemException(
				Problem.notRun(ProblemKind.UNAUTHORIZED, "The key is missing or belongs to no workspace.")));
	}

	private ServiceLimits service(Configuration configuration, Route route) {
		List<ServiceShare> shares = route.shares();
		int total = shares.stream().mapToInt((share) -> Math.max(0, share.weight())).sum();
		int draw = (total > 0) ? this.state.random().nextInt(total) : 0;
		for (ServiceShare share : shares) {
			draw -= Math.max(0, share.weight());
			if (draw < 0) {
				return limits(configuration, share.service());
			}
		}
		return limits(configuration, shares.isEmpty() ? "" : shares.get(0).service());
	}

	private static ServiceLimits limits(Configuration configuration, String service) {
		ServiceLimits limits = configuration.services().get(service);
		return (limits != null) ? limits : new ServiceLimits(service, 0, Optional.empty());
	}

	private static ProblemException refusal(ProblemKind kind, String detail) {
		return new ProblemException(Problem.notRun(kind, detail, RETRY_AFTER_MILLIS));
	}

}
