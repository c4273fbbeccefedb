/**
 * Links between daemons. A daemon dials every other daemon: its orders go out on the link
 * it dialled, and signals and digests come back on it.
 */
package org.rattanhead.peer;
