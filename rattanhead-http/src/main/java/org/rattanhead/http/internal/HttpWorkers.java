package org.rattanhead.http.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The threads of an HTTP server with one I/O thread, separate from its listeners.
 */
public final class HttpWorkers {

	private static final int MAX_CONNECTIONS = 1_000_000;

	private static final long STOP_TIMEOUT_MILLIS = 1_000;

	private HttpWorkers() {
	}

	/**
	 * Starts a worker.
	 * @return the worker
	 */
	public static XnioWorker create() {
		try {
			return Xnio.getInstance(HttpWorkers.class.getClassLoader())
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, 1)
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.CONNECTION_HIGH_WATER, MAX_CONNECTIONS)
					.set(Options.CONNECTION_LOW_WATER, MAX_CONNECTIONS)
					.set(Options.TCP_NODELAY, true)
					.set(Options.CORK, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Closes all connections and ends the threads.
	 * @param worker the worker
	 */
	public static void shutDown(XnioWorker worker) {
		worker.shutdown();
		try {
			if (!worker.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
				worker.shutdownNow();
			}
		}
		catch (InterruptedException ex) {
			worker.shutdownNow();
			Thread.currentThread().interrupt();
		}
	}

}
