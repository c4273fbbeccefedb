/**
 * Links between daemons. A daemon dials every other daemon: it sends orders on the link
 * it dialled and receives signals, verdicts and digests on the same link.
 */
package org.rattanhead.peer;
