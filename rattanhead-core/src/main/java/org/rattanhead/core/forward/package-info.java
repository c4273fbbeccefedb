/**
 * Types for forwarding requests to upstream instances: routes, instances, requests, calls
 * and load.
 */
package org.rattanhead.core.forward;
