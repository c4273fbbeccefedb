package org.rattanhead.platform.catalogue;

/**
 * A read failed.
 *
 * @param detail why
 */
record TailFailure(String detail) implements TailEvent {
}
