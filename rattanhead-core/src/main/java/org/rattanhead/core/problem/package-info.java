/**
 * Typed failures, each with the remedy that a caller or an operator should apply.
 */
package org.rattanhead.core.problem;
