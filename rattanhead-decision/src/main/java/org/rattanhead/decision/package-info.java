/**
 * Decision logic. Each decider is a deterministic function of its state, an event, the
 * time and a seeded random generator, and returns command records. Nothing here does I/O,
 * starts a thread, reads a clock or depends on a message encoding.
 */
package org.rattanhead.decision;
