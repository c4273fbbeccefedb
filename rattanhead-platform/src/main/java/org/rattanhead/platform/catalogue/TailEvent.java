package org.rattanhead.platform.catalogue;

/**
 * An event of {@link CatalogueTail}.
 */
sealed interface TailEvent permits TailPage, TailFailure, TailReadDue {

}
