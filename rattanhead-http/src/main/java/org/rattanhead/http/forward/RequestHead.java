package org.rattanhead.http.forward;

import java.util.List;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.request.RequestId;

/**
 * The head of a request, as received.
 *
 * @param id the request id, unique within the daemon
 * @param method the HTTP method
 * @param host the Host header, empty text if absent
 * @param target path and query, not decoded
 * @param path the path, not decoded
 * @param fields all header fields
 */
public record RequestHead(RequestId id, String method, String host, String target, String path,
		List<HttpField> fields) {
}
