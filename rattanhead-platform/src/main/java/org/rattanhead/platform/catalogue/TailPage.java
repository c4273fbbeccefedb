package org.rattanhead.platform.catalogue;

import org.rattanhead.platform.LogPage;

/**
 * A read returned a page.
 *
 * @param page the page
 */
record TailPage(LogPage page) implements TailEvent {
}
