/**
 * The whole system on one machine: daemons in one process, or stand-ins for daemons in
 * processes of their own.
 */
package org.rattanhead.cli.demo;
