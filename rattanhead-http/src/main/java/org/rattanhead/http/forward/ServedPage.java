package org.rattanhead.http.forward;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A page that the daemon serves itself.
 *
 * @param address the address on which it is served
 * @param path its path
 * @param content supplies its current content
 */
public record ServedPage(InetSocketAddress address, String path, Supplier<PageContent> content) {
}
