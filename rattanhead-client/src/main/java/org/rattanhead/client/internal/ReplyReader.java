package org.rattanhead.client.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import org.rattanhead.client.HttpHead;
import org.rattanhead.core.HttpField;

/**
 * Reads replies by the rules of RFC 9110 and RFC 9112 and rewrites them for the HTTP
 * library, whose parser accepts more than the rules allow and less than they demand. A
 * rewritten reply has a head with a length or chunks only, no interim replies before it,
 * and neither extensions of chunks nor trailers. What breaks the rules is never passed
 * on.
 */
final class ReplyReader {

	private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int RESET_CONTENT = 205;

	/** A status to which the HTTP library gives no meaning with any method. */
	private static final String STATUS_LINE = "HTTP/1.1 400 Rewritten\r\n";

	private static final String LINE_END = "\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	/** Starts of lines are checked up to this length, which bounds the time it takes. */
	private static final int MAX_CHECKED_START = 64;

	private static final Pattern EMPTY_LINE = Pattern.compile("");

	private final LineRule statusLineRule = new LineRule(StatusLine.SYNTAX, true, this::readStatusLine);

	private final LineRule fieldRule = new LineRule(FieldLine.SYNTAX, true, this::readField);

	private final LineRule chunkLineRule = new LineRule(ChunkLine.SYNTAX, false, this::readChunkLine);

	private final LineRule chunkEndRule = new LineRule(EMPTY_LINE, false, this::readChunkEnd);

	private final LineRule trailerRule = new LineRule(FieldLine.SYNTAX, true, this::readTrailer);

	private StringBuilder line = new StringBuilder();

	private final List<HttpField> fields = new ArrayList<>();

	private String method = "";

	private LineRule rule = this.statusLineRule;

	private StatusLine statusLine;

	private ReplyFraming framing;

	private HttpHead head;

	private ByteBuffer rewritten = NOTHING;

	private long bodyBytes;

	private boolean started;

	private boolean complete = true;

	/**
	 * Expects the reply to a request.
	 * @param requestMethod the method of the request
	 */
	void begin(String requestMethod) {
		this.method = requestMethod;
		this.rule = this.statusLineRule;
		this.head = null;
		this.framing = null;
		this.started = false;
		this.complete = false;
	}

	/**
	 * Returns the head of the reply and forgets it, since idle connections are many.
	 * @return the head, empty until it is complete
	 */
	Optional<HttpHead> takeHead() {
		Optional<HttpHead> taken = Optional.ofNullable(this.head);
		this.head = null;
		return taken;
	}

	/**
	 * Returns whether the server keeps the connection open after the reply.
	 * @return true if it does
	 */
	boolean persistent() {
		return this.framing.persistent();
	}

	/**
	 * Returns whether no more bytes of a reply are expected. Rewritten bytes may still
	 * have to be transferred.
	 * @return true if none are
	 */
	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Returns whether rewritten bytes wait for room in a target.
	 * @return true if they do
	 */
	boolean hasRewritten() {
		return this.rewritten.hasRemaining();
	}

	/**
	 * Rewrites bytes until the source has no more, the target is full, or the reply is
	 * complete.
	 * @param source the bytes from the server
	 * @param target receives the rewritten bytes
	 * @throws MalformedReplyException if the bytes are no reply; the target has the bytes
	 * before the fault
	 */
	void transfer(ByteBuffer source, ByteBuffer target) throws MalformedReplyException {
		copy(this.rewritten, target, Long.MAX_VALUE);
		while (!this.complete && source.hasRemaining() && target.hasRemaining()) {
			if (this.bodyBytes > 0) {
				transferBody(source, target);
			}
			else if (endsWithConnection()) {
				beginChunk(source.remaining());
			}
			else {
				readLine(source);
			}
			copy(this.rewritten, target, Long.MAX_VALUE);
		}
	}

	/**
	 * Returns whether the end of the connection is the end of the reply.
	 * @return true if it is
	 */
	boolean endsWithConnection() {
		return this.framing != null && this.framing.end() == BodyEnd.CONNECTION;
	}

	/**
	 * Ends a reply with its connection.
	 * @throws MalformedReplyException if a part of the reply is missing
	 */
	void end() throws MalformedReplyException {
		if (this.started && !this.complete && !endsWithConnection()) {
			throw new MalformedReplyException("the server closed the connection inside its reply");
		}
		if (!this.complete && endsWithConnection()) {
			rewrite(LAST_CHUNK);
		}
		this.complete = true;
	}

	private void transferBody(ByteBuffer source, ByteBuffer target) throws MalformedReplyException {
		if (this.statusLine.status() == RESET_CONTENT) {
			throw new MalformedReplyException("the server sent a body with status " + RESET_CONTENT);
		}
		this.bodyBytes -= copy(source, target, this.bodyBytes);
		if (this.bodyBytes == 0 && endsWithConnection()) {
			rewrite(LINE_END);
		}
		this.complete = this.bodyBytes == 0 && this.framing.end() == BodyEnd.LENGTH;
	}

	private void beginChunk(long sizeBytes) {
		this.bodyBytes = sizeBytes;
		rewrite(Long.toHexString(sizeBytes) + LINE_END);
	}

	private void readLine(ByteBuffer source) throws MalformedReplyException {
		this.started = true;
		while (source.hasRemaining()) {
			char next = (char) Byte.toUnsignedInt(source.get());
			if (next == '\n') {
				String text = this.line.toString();
				// A builder keeps the memory of its longest line.
				this.line = new StringBuilder();
				this.rule.accept(text);
				return;
			}
			this.line.append(next);
		}
		if (this.line.length() <= MAX_CHECKED_START) {
			this.rule.requireStart(this.line.toString());
		}
	}

	private void readStatusLine(String text) throws MalformedReplyException {
		this.statusLine = StatusLine.parse(text);
		if (this.statusLine.status() == SWITCHING_PROTOCOLS) {
			throw new MalformedReplyException("the server changed to another protocol, which no request offers");
		}
		this.rule = this.fieldRule;
	}

	private void readField(String text) throws MalformedReplyException {
		if (!text.isEmpty()) {
			this.fields.add(FieldLine.parse(text));
			return;
		}
		List<HttpField> all = List.copyOf(this.fields);
		this.fields.clear();
		ReplyFraming newFraming = ReplyFraming.of(this.method, this.statusLine, all);
		if (this.statusLine.interim()) {
			this.rule = this.statusLineRule;
		}
		else {
			this.head = new HttpHead(this.statusLine.status(), all);
			beginBody(newFraming);
		}
	}

	private void beginBody(ReplyFraming newFraming) {
		this.framing = newFraming;
		this.rule = this.chunkLineRule;
		this.bodyBytes = newFraming.lengthBytes();
		boolean chunked = newFraming.end() != BodyEnd.LENGTH;
		this.complete = !chunked && this.bodyBytes == 0;
		rewrite(STATUS_LINE + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + this.bodyBytes) + LINE_END
				+ LINE_END);
	}

	private void readChunkLine(String text) throws MalformedReplyException {
		long sizeBytes = ChunkLine.sizeBytes(text);
		if (sizeBytes > 0) {
			this.rule = this.chunkEndRule;
			beginChunk(sizeBytes);
		}
		else {
			this.rule = this.trailerRule;
		}
	}

	private void readChunkEnd(String text) throws MalformedReplyException {
		if (!text.isEmpty()) {
			throw new MalformedReplyException("the server sent a chunk that is longer than its size");
		}
		this.rule = this.chunkLineRule;
		rewrite(LINE_END);
	}

	private void readTrailer(String text) throws MalformedReplyException {
		if (text.isEmpty()) {
			this.complete = true;
			rewrite(LAST_CHUNK);
		}
		else {
			FieldLine.parse(text);
		}
	}

	private void rewrite(String text) {
		this.rewritten = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static int copy(ByteBuffer source, ByteBuffer target, long maxBytes) {
		int count = (int) Math.min(maxBytes, Math.min(source.remaining(), target.remaining()));
		target.put(target.position(), source, source.position(), count);
		target.position(target.position() + count);
		source.position(source.position() + count);
		return count;
	}

}
