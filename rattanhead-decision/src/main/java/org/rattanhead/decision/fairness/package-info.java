/**
 * Shares the slots of a service fairly between workspaces.
 */
package org.rattanhead.decision.fairness;
