/**
 * End-to-end, process and architecture tests.
 */
package org.rattanhead.proof;
