package org.rattanhead.http.forward;

import java.util.List;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;

/**
 * The response for a refused request.
 *
 * @param status the HTTP status
 * @param fields the header fields
 * @param body the body
 */
public record RefusalReply(int status, List<HttpField> fields, Payload body) {
}
