package org.rattanhead.standin.log;

/**
 * An event that the duty of the log service handles.
 */
sealed interface LogEvent permits AppendRequested, ReadRequested, LogFaultsRequested, DeadlineCheckDue {

}
