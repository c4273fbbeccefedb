/** Starts daemon threads. */
final class Threads {

	private Threads() {
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread start(String name, Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The connection ended, or the run is over.
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
