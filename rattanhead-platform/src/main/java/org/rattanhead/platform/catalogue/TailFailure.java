package org.rattanhead.platform.catalogue;

/**
 * A read failed.
 *
 * @param detail the message of the failure
 */
record TailFailure(String detail) implements TailEvent {
}
