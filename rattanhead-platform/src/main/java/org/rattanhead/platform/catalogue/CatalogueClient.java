package org.rattanhead.platform.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.platform.LogPage;
import org.rattanhead.platform.LogService;

/**
 * Reads and edits the catalogue for the command line.
 */
public final class CatalogueClient {

	/** The stream that carries the catalogue. */
	public static final String STREAM = "catalogue";

	private final LogService log;

	/**
	 * Creates a client.
	 * @param log the log service
	 */
	public CatalogueClient(LogService log) {
		this.log = log;
	}

	/**
	 * Reads the complete stream.
	 * @return the catalogue in force and its audit trail
	 */
	public CompletableFuture<CatalogueHistory> load() {
		return loadFrom(CatalogueHistory.EMPTY);
	}

	/**
	 * Publishes an edit and returns the verdict that every daemon derives from the
	 * stream. If the answer to the append is lost, the stream shows whether the edit was
	 * appended.
	 * @param edit the edit
	 * @return the audit record of the edit
	 */
	public CompletableFuture<AuditRecord> publish(CatalogueEdit edit) {
		return this.log.append(STREAM, CatalogueCodec.encode(edit))
			.handle((offset, failure) -> failure)
			.thenCompose((failure) -> load().thenApply((history) -> findAuditRecord(history, edit, failure)));
	}

	private static AuditRecord findAuditRecord(CatalogueHistory history, CatalogueEdit edit, Throwable failure) {
		return history.find(edit.id())
			.orElseThrow(() -> new RemedyException("The edit is not in the log",
					"nothing has changed; check the log service and publish again", failure));
	}

	private CompletableFuture<CatalogueHistory> loadFrom(CatalogueHistory soFar) {
		return this.log.read(STREAM, soFar.nextOffset(), 0).thenCompose((page) -> continueFrom(soFar, page));
	}

	private CompletableFuture<CatalogueHistory> continueFrom(CatalogueHistory soFar, LogPage page) {
		if (page.records().isEmpty()) {
			return CompletableFuture.completedFuture(soFar);
		}
		CatalogueHistory next = CatalogueReplay.apply(soFar.catalogue(), page);
		List<AuditRecord> audit = new ArrayList<>(soFar.audit());
		audit.addAll(next.audit());
		return loadFrom(new CatalogueHistory(next.catalogue(), next.nextOffset(), audit));
	}

}
