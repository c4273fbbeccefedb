/**
 * Generated from {@code src/main/proto/peer.proto}; do not edit.
 */
package org.rattanhead.messages;
