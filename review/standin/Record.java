import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void add(String format, Object... arguments) {
		this.out.printf("%8.3f %s%n", (System.nanoTime() - this.startNanos) / 1e9, String.format(format, arguments));
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
