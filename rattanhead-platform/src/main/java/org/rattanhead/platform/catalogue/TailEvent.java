package org.rattanhead.platform.catalogue;

/**
 * What the tail of the catalogue stream reacts to.
 */
sealed interface TailEvent permits TailPage, TailFailure, TailResume {

}
