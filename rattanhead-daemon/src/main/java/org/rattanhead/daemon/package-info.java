/**
 * The daemon {@code rattanheadd}: validated settings, wiring of the duties, life cycle.
 */
package org.rattanhead.daemon;
