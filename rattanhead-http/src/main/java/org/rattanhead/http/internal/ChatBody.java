package org.rattanhead.http.internal;

/**
 * What the front end reads of the body of a completion.
 *
 * @param model the model
 * @param streamed whether the answer is to be a stream
 * @param promptTokens estimated length of the prompt, in tokens
 * @param maxOutputTokens the longest answer asked for, 0 if none was named
 */
record ChatBody(String model, boolean streamed, int promptTokens, int maxOutputTokens) {
}
