/**
 * The stand-in of a model engine.
 */
package org.rattanhead.standin.engine;
