package org.rattanhead.standin.log;

/**
 * The check for waiting reads that have reached their deadline is due.
 */
record DeadlineCheckDue() implements LogEvent {
}
