/**
 * The complete system on one machine: daemons in one process, or stand-ins for daemons in
 * separate processes.
 */
package org.rattanhead.cli.demo;
