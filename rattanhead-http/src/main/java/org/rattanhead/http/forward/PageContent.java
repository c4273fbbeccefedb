package org.rattanhead.http.forward;

import org.rattanhead.core.Payload;

/**
 * The content of a page.
 *
 * @param status the HTTP status
 * @param contentType the content type of the body
 * @param body the body
 */
public record PageContent(int status, String contentType, Payload body) {
}
