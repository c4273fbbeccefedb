/**
 * Types shared by all modules: payloads, header fields, message dispatch and time
 * conversion.
 */
package org.rattanhead.core;
