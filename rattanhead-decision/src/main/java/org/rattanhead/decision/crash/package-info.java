/**
 * Finds requests, and parts that prompts share, with which instances crash.
 */
package org.rattanhead.decision.crash;
