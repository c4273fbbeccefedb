/**
 * Subcommands that read and edit the catalogue.
 */
package org.rattanhead.cli.catalogue;
