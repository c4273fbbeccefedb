package org.rattanhead.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.Payload;
import org.rattanhead.settings.IniFile;

/**
 * Starts a gateway, sends it a few requests and stops it, so that the virtual machine can
 * record the classes loaded at start for its class data archive. Needs no store.
 */
public final class Rehearsal {

	private static final Logger LOGGER = LogManager.getLogger(Rehearsal.class);

	private static final int ROUNDS = 3;

	/** The pause between rounds, during which heartbeats and failed store reads occur. */
	private static final long PAUSE_MILLIS = 500;

	private static final long TIMEOUT_MILLIS = 1_000;

	private Rehearsal() {
	}

	/**
	 * Runs the rehearsal.
	 * @param file the settings of the gateway
	 * @throws IllegalStateException if an address has answered no call, so that the
	 * classes that serve it were not loaded
	 */
	public static void run(IniFile file) {
		GatewaySettings settings = GatewaySettingsFile.parse(file);
		GatewayLogs.apply(Level.INFO);
		List<InetSocketAddress> addresses = List.of(settings.callersAddress(), settings.readyAddress(),
				settings.directoryAddress(), settings.metricsAddress());
		Set<InetSocketAddress> answered = new HashSet<>();
		try (Gateway gateway = new Gateway(settings); HttpClient caller = new HttpClient("rehearsal", 1)) {
			for (int round = 0; round < ROUNDS; round++) {
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				addresses.stream().filter((address) -> call(caller, address)).forEach(answered::add);
				LOGGER.info("daemon: rehearsal round {} ended with {} open calls", round, gateway.openCalls());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (!answered.containsAll(addresses)) {
			throw new IllegalStateException("the rehearsal had answers only from " + answered);
		}
	}

	private static boolean call(HttpClient caller, InetSocketAddress address) {
		try {
			caller.call(new HttpCall(address, "POST", "/", List.of(), Payload.of("{}"), TIMEOUT_MILLIS)).join();
			return true;
		}
		catch (CompletionException ex) {
			LOGGER.info("daemon: rehearsal call failed: {}", ex.getMessage());
			return false;
		}
	}

}
