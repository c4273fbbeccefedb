/**
 * Checked INI files. Every fault of a file is reported at once, with file, section, key
 * and remedy.
 */
package org.rattanhead.settings;
