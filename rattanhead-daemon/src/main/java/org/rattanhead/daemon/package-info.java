/**
 * The daemon {@code rattanheadd}: checked settings, wiring of the duties, life cycle.
 */
package org.rattanhead.daemon;
