/**
 * The stand-in for a model engine.
 */
package org.rattanhead.standin.engine;
