/**
 * Subcommands that call a daemon.
 */
package org.rattanhead.cli.request;
