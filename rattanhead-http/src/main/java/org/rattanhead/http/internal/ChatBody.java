package org.rattanhead.http.internal;

/**
 * The fields of a completion request that the front end evaluates.
 *
 * @param model the model
 * @param streamed whether a streamed response is requested
 * @param promptTokens estimated length of the prompt, in tokens
 * @param maxOutputTokens the requested maximum length of the response, in tokens; 0 if
 * none
 */
record ChatBody(String model, boolean streamed, int promptTokens, int maxOutputTokens) {
}
