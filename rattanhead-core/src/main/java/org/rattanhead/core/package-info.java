/**
 * Types shared by every module: identifiers, payloads and sources of time.
 */
package org.rattanhead.core;
