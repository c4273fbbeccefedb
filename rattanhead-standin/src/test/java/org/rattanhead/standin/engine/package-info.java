/**
 * Tests of the engine stand-in.
 */
package org.rattanhead.standin.engine;
