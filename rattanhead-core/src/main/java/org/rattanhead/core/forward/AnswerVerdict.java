package org.rattanhead.core.forward;

/**
 * What the head of an answer says about the execution of the request.
 */
public enum AnswerVerdict {

	/** The instance ran the request. */
	RUN,

	/** The instance did not run the request and never will. */
	NOT_RUN,

	/** The address now belongs to another instance, which did not run the request. */
	WRONG_INSTANCE,

	/**
	 * The answer belongs to another attempt, or a success lacks the signature of the
	 * instance.
	 */
	CROSSED

}
