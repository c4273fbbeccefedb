package org.rattanhead.client.wire;

/**
 * The bytes that a server sends for one request, and what RFC 9110 and RFC 9112 make of
 * them.
 *
 * @param name the name of the case
 * @param method the method of the request
 * @param wire the bytes, one character each; {@link #FIELDS} stands for header fields
 * that the test adds
 * @param end what the server does with the connection after the bytes
 * @param outcome status and body of the reply, {@link #INVALID} if there is no complete
 * reply
 */
public record WireReply(String name, String method, String wire, WireEnd end, String outcome) {

	/** Stands for lines of header fields in {@link #wire()}. */
	public static final String FIELDS = "{fields}";

	/** The outcome of bytes that are no complete reply. */
	public static final String INVALID = "invalid";

	/** The body of the replies, one server-sent event of 15 bytes. */
	public static final String BODY = "id: 1\ndata: e\n\n";

	/**
	 * Returns whether the bytes are a complete reply.
	 * @return true if they are
	 */
	public boolean valid() {
		return !this.outcome.equals(INVALID);
	}

	/**
	 * Returns the bytes with header fields added.
	 * @param fields complete lines of header fields
	 * @return the bytes, one character each
	 */
	public String with(String fields) {
		return this.wire.replace(FIELDS, fields);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
