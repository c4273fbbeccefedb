package org.rattanhead.standin.engine;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.rattanhead.standin.http.Reply;

/**
 * Show something of the state, or change it.
 *
 * @param operation computes the reply from the state and the time
 * @param reply completed with the reply
 * @param affectedBySilence whether the silence fault holds the reply back for good
 */
record StateRequested(BiFunction<EngineSimulator, Long, Reply> operation, CompletableFuture<Reply> reply,
		boolean affectedBySilence) implements EngineEvent {
}
