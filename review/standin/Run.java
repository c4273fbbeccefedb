import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One run of a case: a store, gateways and servers, and what they leave behind. Exits with 1 if the
 * rule was broken, 0 if it held and 2 if the case could not run. Arguments: the root of the
 * repository and the file for the record.
 */
final class Run implements AutoCloseable {

	/** Judges a run; returns whether the rule held. */
	interface Case {

		boolean run(Run run) throws Exception;

	}

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Record record;

	final Store store;

	final List<Gateway> gateways = new ArrayList<>();

	final List<Server> servers = new ArrayList<>();

	private final Path root;

	private final Path folder;

	private Run(Path root, Path recordFile) throws Exception {
		this.root = root;
		this.folder = Files.createTempDirectory("review");
		this.record = new Record(recordFile);
		this.store = new Store();
	}

	static void main(String[] arguments, Case checked) {
		int status = 2;
		try (Run run = new Run(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]))) {
			Thread stopper = new Thread(run::close);
			Runtime.getRuntime().addShutdownHook(stopper);
			try {
				status = checked.run(run) ? 0 : 1;
				run.record.add("the rule %s", (status == 0) ? "held" : "was BROKEN");
			}
			catch (Exception ex) {
				run.record.add("the case could not run: %s", ex);
			}
		}
		catch (Exception ex) {
			System.err.println("the case could not run: " + ex);
		}
		System.exit(status);
	}

	/** Writes the configuration of a deployment: one host, one tenant with the key k1. */
	void configure(long version, String routes, String services) {
		this.store.put("keyed.op", "config", ("{'Version':" + version + ",'Routes':[" + routes + "],'Services':["
				+ services + "],'Limits':{'MaxHeaderBytes':16384,'MaxBodyBytes':4194304,'HeaderTimeoutMs':3000,"
				+ "'IdleTimeoutMs':15000},'Tenants':[{'Name':'atelier','ApiKeys':['k1'],'Priority':1}]}")
			.replace('\'', '"'));
	}

	Server server(String id, String service, int slots, Server.Script script) throws Exception {
		Server server = new Server(id, service, slots, this.store, this.record, script);
		this.servers.add(server);
		return server;
	}

	/** Prepares the settings of gateways. */
	void addGateways(int count) throws Exception {
		for (int index = 1; index <= count; index++) {
			this.gateways.add(new Gateway(this.root, this.folder, "front-" + index, this.store.address()));
		}
	}

	/** Starts gateways and waits until they are ready and know each other. */
	void startGateways(int count) throws Exception {
		addGateways(count);
		for (Gateway gateway : this.gateways) {
			gateway.start();
		}
		for (Gateway gateway : this.gateways) {
			gateway.awaitReady();
		}
		this.record.add("%d gateways are ready", count);
		TimeUnit.SECONDS.sleep(4);
	}

	@Override
	public void close() {
		for (Gateway gateway : this.gateways) {
			try {
				gateway.close();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		for (Server server : this.servers) {
			try {
				server.close();
			}
			catch (Exception ex) {
				// Closed already.
			}
		}
		this.record.close();
		for (java.io.File file : this.folder.toFile().listFiles() != null ? this.folder.toFile().listFiles()
				: new java.io.File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
	}

}
