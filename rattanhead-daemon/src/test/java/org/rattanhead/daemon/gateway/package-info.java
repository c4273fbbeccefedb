/**
 * Tests of gateways on stand-ins of the platform.
 */
package org.rattanhead.daemon.gateway;
