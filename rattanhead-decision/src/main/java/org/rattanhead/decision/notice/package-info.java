/**
 * What instances say of themselves in their answers, as evidence for placement, retries
 * and admission.
 */
package org.rattanhead.decision.notice;
