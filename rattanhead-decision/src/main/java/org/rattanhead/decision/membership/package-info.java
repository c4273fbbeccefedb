/**
 * Decides which daemons are live, from the platform's host list and the links to them.
 */
package org.rattanhead.decision.membership;
