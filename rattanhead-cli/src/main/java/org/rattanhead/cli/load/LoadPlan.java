package org.rattanhead.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The requests of a load, generated before it starts: the same seed gives the same
 * requests at the same times.
 *
 * @param seed the seed
 * @param requests the requests, earliest first
 */
public record LoadPlan(long seed, List<PlannedRequest> requests) {

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int MIN_OUTPUT_TOKENS = 4;

	private static final int MAX_OUTPUT_TOKENS = 48;

	private static final double MICROS_PER_SECOND = TimeUnit.SECONDS.toMicros(1);

	/**
	 * Copies the requests.
	 * @param seed the seed
	 * @param requests the requests
	 */
	public LoadPlan {
		requests = List.copyOf(requests);
	}

	/**
	 * Generates Poisson arrivals with a fixed mean rate, independent of answers.
	 * @param seed the seed
	 * @param ratePerSecond the mean rate, in requests per second
	 * @param durationMillis how long requests are sent, in milliseconds
	 * @param mix the lengths of the prompts
	 * @return the plan
	 */
	public static LoadPlan poisson(long seed, double ratePerSecond, long durationMillis, LengthMix mix) {
		Random random = new Random(seed);
		List<PlannedRequest> requests = new ArrayList<>();
		double atMicros = 0;
		while (true) {
			atMicros += -Math.log(1 - random.nextDouble()) / ratePerSecond * MICROS_PER_SECOND;
			if (atMicros >= TimeUnit.MILLISECONDS.toMicros(durationMillis)) {
				return new LoadPlan(seed, requests);
			}
			requests.add(new PlannedRequest(requests.size(), (long) atMicros, mix.draw(random),
					random.nextInt(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS)));
		}
	}

	/**
	 * Returns the prompt of a request. Prompts of different requests differ.
	 * @param request the request
	 * @return the prompt
	 */
	public String prompt(PlannedRequest request) {
		String head = "seed " + this.seed + " request " + request.number() + " ";
		String line = "crest of ostrich plumes for the near-side horse, dye lot " + request.number() + "; ";
		int characters = request.promptTokens() * CHARACTERS_PER_TOKEN;
		StringBuilder prompt = new StringBuilder(characters + line.length()).append(head);
		while (prompt.length() < characters) {
			prompt.append(line);
		}
		prompt.setLength(characters);
		return prompt.toString();
	}

}
