package org.rattanhead.platform.catalogue;

/**
 * The pause after a failure is over.
 */
record TailResume() implements TailEvent {
}
