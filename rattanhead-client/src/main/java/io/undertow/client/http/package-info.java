/**
 * Access to Undertow's client connections, whose constructor is not public.
 */
package io.undertow.client.http;
