/**
 * Claims in the log service: their encoding and the duty that writes and reads them.
 */
package org.rattanhead.platform.claim;
