package org.rattanhead.bench;

import java.util.function.Consumer;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;

/**
 * Waits for the end of an answer.
 */
final class LoopObserver implements ReplyObserver {

	private static final int OK = 200;

	private final Consumer<String> onOver;

	private String fault = "";

	LoopObserver(Consumer<String> onOver) {
		this.onOver = onOver;
	}

	@Override
	public void onHead(HttpHead head) {
		this.fault = (head.status() != OK) ? "status " + head.status() : "";
	}

	@Override
	public boolean onBytes(Payload bytes) {
		return true;
	}

	@Override
	public void onEnd() {
		this.onOver.accept(this.fault);
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.onOver.accept(failure + " " + detail);
	}

}
