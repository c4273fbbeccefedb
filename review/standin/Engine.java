import java.io.OutputStream;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * The work of a model server: prompts are read one after the other, then each answer is written in
 * events of 34 tokens. A prompt with helpers takes only its own part of the reading time here.
 */
final class Engine {

	static final int SLOTS = 11;

	/** The figures that the configuration gives for the engines. */
	static final String SERVICE = "{'Name':'pool','HealthPath':'/healthz','MaxConnections':304,'Protocol':'h1',"
			+ "'Tls':false,'ColdStartS':3.0,'ColdPerS':26.0,'Engine':{'Slots':11,'KvCapacityTokens':405000,"
			+ "'Stride':34,'Models':[{'Name':'m'}],'step_ms':1.31,'per_seq_ms':0.0013,'context_per_k':0.00213,"
			+ "'read_per_s':154000.0,'pairs_per_m':0.162,'chunk':2048,'report_lag_ms':200.0,"
			+ "'usual':{'prompt':11317,'answer':1266},'HopMs':0.1}}";

	private static final long EVENT_MS = 45;

	private static final int TOKENS_PER_EVENT = 34;

	private final Record record;

	private final Semaphore slots = new Semaphore(SLOTS, true);

	private final Semaphore reading = new Semaphore(1, true);

	Engine(Record record) {
		this.record = record;
	}

	void run(Server server, Http.Head head, byte[] body, OutputStream out) throws Exception {
		String attempt = head.field("X-Attempt-Id");
		String[] tokens = head.field("X-Token-Usage").split(",");
		double prompt = Double.parseDouble(tokens[0].trim());
		int events = Math.max(1, Integer.parseInt(tokens[1].trim()) / TOKENS_PER_EVENT);
		int parts = head.field("X-Helpers").isEmpty() ? 1 : 1 + head.field("X-Helpers").split(",").length;
		this.record.add("server %s: received %s, %s tokens in, %d events out, read by %d", server.id, attempt,
				tokens[0], events, parts);
		this.slots.acquire();
		try {
			this.reading.acquire();
			try {
				Thread.sleep(Math.round((prompt / 154 + prompt * prompt / 2e6 * 0.162) / parts));
			}
			finally {
				this.reading.release();
			}
			int first = head.field("Last-Event-Id").isEmpty() ? 1 : Integer.parseInt(head.field("Last-Event-Id")) + 1;
			Server.beginStream(out, head);
			for (int event = first; event <= events; event++) {
				TimeUnit.MILLISECONDS.sleep(EVENT_MS);
				Server.chunk(out, "id: " + event + "\ndata: piece-" + event + "\n\n");
			}
			Server.endStream(out);
		}
		finally {
			this.slots.release();
		}
	}

}
