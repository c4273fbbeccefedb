package org.rattanhead.standin.log;

/**
 * Time has passed.
 */
record DeadlineCheckDue() implements LogEvent {
}
