package org.rattanhead.standin.engine;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.rattanhead.standin.http.Reply;

/**
 * Show something of the state, or change it.
 *
 * @param question computes the reply from the state and the time
 * @param reply completed with the reply
 * @param silenced whether the silence fault holds the reply back for good
 */
record EngineAsked(BiFunction<EngineModel, Long, Reply> question, CompletableFuture<Reply> reply,
		boolean silenced) implements EngineEvent {
}
