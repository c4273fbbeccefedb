package org.rattanhead.standin.engine;

/**
 * What the engine counted since it was created.
 *
 * @param crashes how often it fell over or was crashed
 * @param coldOverloads how often it fell over because it was sent more in cold start than
 * it bears
 * @param mostRunningCold most requests held at once in cold start
 * @param mostRunning most requests held at once
 * @param finished answers given whole
 */
public record EngineCounts(int crashes, int coldOverloads, int mostRunningCold, int mostRunning, long finished) {
}
