package org.rattanhead.core.request;

import org.rattanhead.core.Payload;

/**
 * The call to make on an upstream. The body is forwarded unchanged.
 *
 * @param method the HTTP method
 * @param path path and query
 * @param contentType the type of the body, empty if there is none
 * @param streamed whether the answer is a stream of server-sent events
 * @param body the body
 */
public record UpstreamCall(String method, String path, String contentType, boolean streamed, Payload body) {
}
