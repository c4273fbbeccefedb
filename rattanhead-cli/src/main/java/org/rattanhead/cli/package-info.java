/**
 * The command {@code rattanhead} for callers and operators.
 */
package org.rattanhead.cli;
