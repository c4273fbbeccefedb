package org.rattanhead.decision.forward;

/**
 * The load of a balancing simulation.
 *
 * @param gateways the daemons of the fleet, of which at most 16 serve
 * @param plain whether requests go to 3 plain servers instead of 60 engines
 * @param viewMillis the age at which a view of another daemon is replaced
 * @param percent the load in percent of the capacity
 * @param slow whether a fifth of the servers is 4 times slower
 */
record BalanceCase(int gateways, boolean plain, long viewMillis, int percent, boolean slow) {

	private static final int SERVING = 16;

	static final int SLOW_FACTOR = 4;

	int serving() {
		return Math.min(SERVING, this.gateways);
	}

	int servers() {
		return this.plain ? 3 : 60;
	}

	int slots() {
		return this.plain ? 6 : 8;
	}

	double meanMillis() {
		return this.plain ? 50 : BalanceSimulation.ENGINE.meanAnswerTokens() * BalanceSimulation.ENGINE.stepMillis();
	}

	int factor(int server) {
		return (this.slow && server % 5 == 2) ? SLOW_FACTOR : 1;
	}

	double arrivalsPerMilli() {
		double slotsAtFullSpeed = 0;
		for (int server = 0; server < servers(); server++) {
			slotsAtFullSpeed += slots() / (double) factor(server);
		}
		return slotsAtFullSpeed / meanMillis() * this.percent / 100;
	}

}
