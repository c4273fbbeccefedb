/**
 * The catalogue that operators edit: entries, edits, verdicts and the audit trail.
 */
package org.rattanhead.core.catalogue;
