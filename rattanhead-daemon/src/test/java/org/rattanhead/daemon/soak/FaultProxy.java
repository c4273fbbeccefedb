package org.rattanhead.daemon.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A TCP proxy on the loopback interface that injects faults into the connections of one
 * link.
 */
final class FaultProxy implements AutoCloseable {

	private static final int BACKLOG = 64;

	private static final int BUFFER_BYTES = 8_192;

	private static final long SLOW_MILLIS = 150;

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

	private volatile LinkState state = LinkState.OPEN;

	FaultProxy(InetSocketAddress target) throws IOException {
		this.target = target;
		this.listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
		start(this::accept);
	}

	InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.listener.getLocalPort());
	}

	void changeState(LinkState newState) {
		this.state = newState;
		if (newState == LinkState.RESET) {
			this.openSockets.forEach(FaultProxy::reset);
		}
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket caller = this.listener.accept();
				if (this.state == LinkState.RESET) {
					reset(caller);
				}
				else {
					connect(caller);
				}
			}
			catch (IOException ex) {
				// The listener was closed, or the target refused the connection and
				// the caller's connection was reset.
				continue;
			}
		}
	}

	private void connect(Socket caller) throws IOException {
		try {
			Socket server = new Socket(this.target.getAddress(), this.target.getPort());
			this.openSockets.add(caller);
			this.openSockets.add(server);
			AtomicBoolean discarding = new AtomicBoolean();
			start(() -> forward(caller, server, discarding, false));
			start(() -> forward(server, caller, discarding, true));
		}
		catch (IOException ex) {
			reset(caller);
			throw ex;
		}
	}

	private void forward(Socket from, Socket to, AtomicBoolean discarding, boolean carriesAnswers) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				LinkState now = this.state;
				if (now == LinkState.DISCARD_ALL || (now == LinkState.DISCARD_ANSWERS && carriesAnswers)) {
					discarding.set(true);
				}
				if (now == LinkState.SLOW) {
					TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
				}
				if (!discarding.get()) {
					out.write(buffer, 0, count);
				}
			}
			if (!discarding.get()) {
				to.shutdownOutput();
			}
		}
		catch (IOException ex) {
			reset(to);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.openSockets.remove(from);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The socket is closed already.
			return;
		}
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "fault-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.openSockets.forEach(FaultProxy::reset);
	}

}
