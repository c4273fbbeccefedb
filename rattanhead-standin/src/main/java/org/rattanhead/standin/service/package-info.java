/**
 * The stand-in for a plain service.
 */
package org.rattanhead.standin.service;
