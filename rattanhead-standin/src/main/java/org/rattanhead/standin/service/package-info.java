/**
 * The stand-in of a plain service.
 */
package org.rattanhead.standin.service;
