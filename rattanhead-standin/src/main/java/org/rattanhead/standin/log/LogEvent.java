package org.rattanhead.standin.log;

/**
 * What the log service is asked to do.
 */
sealed interface LogEvent permits AppendRequested, ReadRequested, LogFaultsRequested, DeadlineCheckDue {

}
