/**
 * What is needed to forward a request to an upstream instance: routes, instances,
 * requests, calls and load.
 */
package org.rattanhead.core.forward;
