/**
 * Decisions about what is registered on the platform: upstream instances and daemons.
 */
package org.rattanhead.decision.register;
