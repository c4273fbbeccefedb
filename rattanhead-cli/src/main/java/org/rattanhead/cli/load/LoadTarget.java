package org.rattanhead.cli.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The target of a load.
 *
 * @param addresses the addresses, used round-robin
 * @param key the key of the workspace
 * @param model the model
 * @param verify whether answers are compared with those of the engine stand-in
 */
public record LoadTarget(List<InetSocketAddress> addresses, String key, String model, boolean verify) {
}
