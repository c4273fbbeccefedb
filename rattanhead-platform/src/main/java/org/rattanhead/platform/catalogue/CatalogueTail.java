package org.rattanhead.platform.catalogue;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.platform.LogPage;
import org.rattanhead.platform.LogService;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;

/**
 * The duty that follows the catalogue stream. While the log service is unavailable, the
 * catalogue that was read last stays in force.
 */
public final class CatalogueTail implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(CatalogueTail.class);

	private static final Logger AUDIT = LogManager.getLogger("org.rattanhead.audit");

	private static final int RING_SLOTS = 64;

	private static final long READ_WAIT_MILLIS = 1_000;

	private static final long RETRY_DELAY_MILLIS = 250;

	private final LogService log;

	private final Ticker ticker;

	private final CatalogueListener listener;

	private final Duty<TailEvent> duty;

	private final HandlerTable<TailEvent, Catalogue> handlers = new HandlerTable<>();

	private Catalogue catalogue = Catalogue.EMPTY;

	private long nextOffset;

	private boolean failing;

	/**
	 * Starts to follow the stream.
	 * @param log the log service
	 * @param ticker schedules the retry after a failure
	 * @param listener receives changes, on the thread of this duty
	 */
	public CatalogueTail(LogService log, Ticker ticker, CatalogueListener listener) {
		this.log = log;
		this.ticker = ticker;
		this.listener = listener;
		this.handlers.on(TailPage.class, (event, now) -> onPage(event.page()))
			.on(TailFailure.class, (event, now) -> onFailure(event.detail()))
			.on(TailReadDue.class, (event, now) -> read())
			.covering(TailEvent.class);
		this.duty = new Duty<>("catalogue", RING_SLOTS, System::nanoTime, this.handlers::handle);
		this.duty.offer(new TailReadDue(), Urgency.CONTROL);
	}

	private Catalogue read() {
		this.log.read(CatalogueClient.STREAM, this.nextOffset, READ_WAIT_MILLIS)
			.<TailEvent>handle((page, failure) -> (failure != null)
					? new TailFailure(String.valueOf(failure.getMessage())) : new TailPage(page))
			.thenAccept((event) -> this.duty.offer(event, Urgency.CONTROL));
		return this.catalogue;
	}

	private Catalogue onPage(LogPage page) {
		if (this.failing) {
			this.failing = false;
			LOGGER.info("catalogue: the log service is available again; reading from offset {}", this.nextOffset);
		}
		CatalogueHistory history = CatalogueReplay.apply(this.catalogue, page);
		boolean changed = history.catalogue().offset() != this.catalogue.offset();
		this.catalogue = history.catalogue();
		this.nextOffset = Math.max(this.nextOffset, history.nextOffset());
		if (changed) {
			history.audit().forEach(CatalogueTail::logAuditRecord);
			this.listener.onChange(history);
		}
		return read();
	}

	private Catalogue onFailure(String detail) {
		if (!this.failing) {
			this.failing = true;
			LOGGER.warn("catalogue: reading the log failed ({}); the catalogue of offset {} stays in force", detail,
					this.catalogue.offset());
		}
		this.ticker.after(RETRY_DELAY_MILLIS, () -> this.duty.offer(new TailReadDue(), Urgency.CONTROL));
		return this.catalogue;
	}

	private static void logAuditRecord(AuditRecord record) {
		AUDIT.info("audit: offset {} edit {} by {} changes {} verdict {} {}", record.offset(), record.editId(),
				record.author(), record.changes().stream().map((change) -> change.key().toString()).toList(),
				record.verdict().accepted() ? "accepted" : "rejected", record.verdict().findings());
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
