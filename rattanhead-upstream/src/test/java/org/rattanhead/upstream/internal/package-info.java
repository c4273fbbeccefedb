/**
 * Tests of reading answers.
 */
package org.rattanhead.upstream.internal;
