/**
 * Tests of gateways with stand-ins for the platform.
 */
package org.rattanhead.daemon.gateway;
