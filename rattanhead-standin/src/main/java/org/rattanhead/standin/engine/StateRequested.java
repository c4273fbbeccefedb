package org.rattanhead.standin.engine;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.rattanhead.standin.http.Reply;

/**
 * A request to read or change the state of the simulated engine.
 *
 * @param operation computes the reply from the state and the time
 * @param reply completed with the reply
 * @param affectedBySilence whether the reply is dropped while {@link EngineFault#SILENCE}
 * is active
 */
record StateRequested(BiFunction<EngineSimulator, Long, Reply> operation, CompletableFuture<Reply> reply,
		boolean affectedBySilence) implements EngineEvent {
}
