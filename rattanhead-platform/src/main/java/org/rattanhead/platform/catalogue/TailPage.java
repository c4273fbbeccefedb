package org.rattanhead.platform.catalogue;

import org.rattanhead.platform.LogPage;

/**
 * A page arrived.
 *
 * @param page the page
 */
record TailPage(LogPage page) implements TailEvent {
}
