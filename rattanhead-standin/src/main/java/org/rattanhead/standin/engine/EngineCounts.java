package org.rattanhead.standin.engine;

/**
 * Counters of an engine since it was created.
 *
 * @param crashes number of crashes, injected ones included
 * @param coldOverloads number of crashes because it held more requests in cold start than
 * its limit
 * @param mostRunningCold maximum number of requests, running and queued, in cold start
 * @param mostRunning maximum number of requests, running and queued
 * @param finished number of ended answers, truncated ones included
 */
public record EngineCounts(int crashes, int coldOverloads, int mostRunningCold, int mostRunning, long finished) {
}
