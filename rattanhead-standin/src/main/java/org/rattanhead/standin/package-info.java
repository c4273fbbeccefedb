/**
 * Small stand-ins for external systems, for demonstrations, tests and measurements. Their
 * answers are deterministic, and faults can be injected through their HTTP interfaces.
 */
package org.rattanhead.standin;
