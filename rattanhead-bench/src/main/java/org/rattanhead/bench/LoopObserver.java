package org.rattanhead.bench;

import java.util.function.Consumer;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;

/**
 * Reports the end of a call, with a description of its failure or an empty text.
 */
final class LoopObserver implements ReplyObserver {

	private static final int OK = 200;

	private final Consumer<String> onComplete;

	private String fault = "";

	LoopObserver(Consumer<String> onComplete) {
		this.onComplete = onComplete;
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
		this.onComplete.accept(this.fault);
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.onComplete.accept(failure + " " + detail);
	}

}
