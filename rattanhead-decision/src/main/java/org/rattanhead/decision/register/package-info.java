/**
 * Tracks the upstream instances and daemons that are registered on the platform, and
 * decides which daemons serve.
 */
package org.rattanhead.decision.register;
