/**
 * Replies as they appear on the wire, for the tests of all modules that read replies.
 */
package org.rattanhead.client.wire;
