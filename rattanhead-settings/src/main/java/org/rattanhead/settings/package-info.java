/**
 * Reads and validates INI files. All faults of a file are reported at once, each with
 * file, section, key and remedy.
 */
package org.rattanhead.settings;
