/**
 * Tests of the commands that send requests.
 */
package org.rattanhead.cli.request;
