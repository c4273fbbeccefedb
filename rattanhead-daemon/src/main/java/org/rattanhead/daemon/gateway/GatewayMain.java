package org.rattanhead.daemon.gateway;

import java.nio.file.Path;

import org.rattanhead.daemon.ServiceLifecycle;
import org.rattanhead.ring.DeferredAction;
import org.rattanhead.ring.ShutdownHook;
import org.rattanhead.settings.IniFile;

/**
 * Runs a gateway until SIGTERM.
 */
public final class GatewayMain {

	private GatewayMain() {
	}

	/**
	 * Returns whether a settings file is that of a gateway.
	 * @param file the settings
	 * @return true if it has a section for the gateway
	 */
	public static boolean accepts(IniFile file) {
		return file.section(GatewaySettingsFile.SECTION).isPresent();
	}

	/**
	 * Checks the settings and runs the gateway.
	 * @param path the settings file, which is read again on SIGHUP
	 * @param file the content of the settings file
	 * @param checkOnly whether to return after the check
	 * @param hangup the action on SIGHUP, which this method sets
	 */
	public static void run(Path path, IniFile file, boolean checkOnly, DeferredAction hangup) {
		GatewaySettings settings = GatewaySettingsFile.parse(file);
		if (checkOnly) {
			return;
		}
		ServiceLifecycle lifecycle = new ServiceLifecycle();
		// Before anything listens: a signal that the JVM handles cuts accepted requests.
		ShutdownHook.register(() -> {
			lifecycle.shutDown();
			GatewayLogs.stop();
		});
		GatewayLogs.apply(settings.logLevel());
		hangup.set(new GatewayReload(path, settings));
		lifecycle.run(() -> new Gateway(settings));
	}

}
