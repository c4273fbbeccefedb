/**
 * Claims: the records that let a request that may not be repeated run at most once.
 */
package org.rattanhead.core.claim;
