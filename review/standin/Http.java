import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {

	private Http() {
	}

	/** The first line and the header fields of a message; names are in lower case. */
	record Head(String line, Map<String, String> fields) {

		String field(String name) {
			return this.fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String method() {
			return this.line.split(" ")[0];
		}

		String target() {
			return this.line.split(" ")[1];
		}

		String path() {
			return target().replaceAll("\\?.*", "");
		}

		String parameter(String name) {
			String target = target();
			int start = target.indexOf('?');
			for (String part : (start < 0) ? new String[0] : target.substring(start + 1).split("&")) {
				if (part.startsWith(name + "=")) {
					return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
				}
			}
			return "";
		}

	}

	/** Returns null at the end of the stream. */
	static Head readHead(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Map<String, String> fields = new LinkedHashMap<>();
		for (String field = readLine(in); field == null || !field.isEmpty(); field = readLine(in)) {
			if (field == null) {
				throw new EOFException("the head is incomplete");
			}
			int colon = field.indexOf(':');
			fields.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
		}
		return new Head(line, fields);
	}

	/** Reads the body of a request. */
	static byte[] readRequestBody(InputStream in, Head head) throws IOException {
		if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
				body.write(chunk);
			}
			return body.toByteArray();
		}
		int length = head.field("Content-Length").isEmpty() ? 0 : Integer.parseInt(head.field("Content-Length"));
		return readExactly(in, length);
	}

	/** Reads one chunk, empty at the end of the body. */
	static byte[] readChunk(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("the connection ended before the last chunk");
		}
		byte[] chunk = readExactly(in, Integer.parseInt(line.trim(), 16));
		if (readLine(in) == null) {
			throw new EOFException("the connection ended inside a chunk");
		}
		return chunk;
	}

	static byte[] readExactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			line.write(next);
			next = in.read();
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	static InputStream buffered(InputStream in) {
		return new BufferedInputStream(in);
	}

}
