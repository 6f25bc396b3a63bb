package io.zinniawood.entry.acceptance;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.AcceptanceCodec;
import io.zinniawood.config.CodecError;
import io.zinniawood.config.ConfigurationCodec;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.ConfigurationFile;
import io.zinniawood.config.ConfigurationFolder;
import io.zinniawood.config.MergedConfiguration;
import io.zinniawood.core.acceptance.AcceptanceEffect;
import io.zinniawood.core.acceptance.AcceptanceEffectVisitor;
import io.zinniawood.core.acceptance.AcceptanceEvent;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.AcceptanceState;
import io.zinniawood.core.acceptance.AcceptanceTimer;
import io.zinniawood.core.acceptance.AcceptedSnapshot;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.acceptance.FolderFile;
import io.zinniawood.core.acceptance.MergeOutcome;
import io.zinniawood.core.acceptance.StoreFailure;
import io.zinniawood.core.acceptance.VersionedRow;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.Payload;
import io.zinniawood.runtime.EventLoop;
import io.zinniawood.store.ObjectListing;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;

/** Executes the effects of the acceptance reducer and posts the responses as events. */
final class AcceptanceExecutor implements AcceptanceEffectVisitor<Void> {
  static final String FOLDER_PREFIX = "config/";
  static final String ROW_KEY = "config/accepted";
  private static final Logger LOGGER = System.getLogger(AcceptanceExecutor.class.getName());

  private final EventLoop<AcceptanceState, AcceptanceEvent, AcceptanceEffect, AcceptanceTimer> loop;
  private final Executor mergeExecutor;
  private final ObjectStore objects;
  private final Table table;
  private final Consumer<AcceptedConfiguration> listener;
  private final Consumer<AcceptanceNotice> notices;

  AcceptanceExecutor(
      EventLoop<AcceptanceState, AcceptanceEvent, AcceptanceEffect, AcceptanceTimer> loop,
      Executor mergeExecutor,
      ObjectStore objects,
      Table table,
      Consumer<AcceptedConfiguration> listener,
      Consumer<AcceptanceNotice> notices) {
    this.loop = loop;
    this.mergeExecutor = mergeExecutor;
    this.objects = objects;
    this.table = table;
    this.listener = listener;
    this.notices = notices;
  }

  @Override
  public Void visitReadRow(AcceptanceEffect.ReadRow effect) {
    return postResponse(
        effect.round(),
        table.read(ROW_KEY),
        row ->
            decodeRow(row)
                .fold(
                    error -> storeRejected(effect.round(), error),
                    found ->
                        new AcceptanceEvent.RowRead(
                            effect.round(),
                            found.map(VersionedRow::version).getOrElse(table.absentVersion()),
                            found)));
  }

  @Override
  public Void visitReadSnapshot(AcceptanceEffect.ReadSnapshot effect) {
    return postResponse(
        effect.round(),
        objects.read(effect.objectName()),
        object ->
            new AcceptanceEvent.SnapshotRead(effect.round(), object.flatMap(this::decodeSnapshot)));
  }

  @Override
  public Void visitListFolder(AcceptanceEffect.ListFolder effect) {
    return postResponse(
        effect.round(),
        objects.list(FOLDER_PREFIX),
        listing ->
            new AcceptanceEvent.FolderListed(
                effect.round(),
                listing.completeness() == ObjectListing.Completeness.COMPLETE
                    ? AcceptanceEvent.Completeness.COMPLETE
                    : AcceptanceEvent.Completeness.PARTIAL,
                listing
                    .objects()
                    .filter(
                        object ->
                            ConfigurationFolder.isMerged(
                                object.name().substring(FOLDER_PREFIX.length())))
                    .map(
                        object ->
                            new FileVersion(
                                object.name().substring(FOLDER_PREFIX.length()),
                                object.version()))));
  }

  @Override
  public Void visitReadFile(AcceptanceEffect.ReadFile effect) {
    return postResponse(
        effect.round(),
        objects.read(FOLDER_PREFIX + effect.name()),
        object ->
            new AcceptanceEvent.FileRead(
                effect.round(),
                effect.name(),
                object.map(
                    found ->
                        new FolderFile(effect.name(), found.version(), found.content().text()))));
  }

  @Override
  public Void visitMergeFiles(AcceptanceEffect.MergeFiles effect) {
    // Merging a large folder would block the event loop for too long.
    mergeExecutor.execute(
        () -> loop.post(new AcceptanceEvent.MergeFinished(effect.round(), merge(effect.files()))));
    return null;
  }

  @Override
  public Void visitWriteSnapshot(AcceptanceEffect.WriteSnapshot effect) {
    Either<CodecError, Payload> encoded = AcceptanceCodec.encodeSnapshot(effect.snapshot());
    if (encoded.isLeft()) {
      loop.post(storeRejected(effect.round(), encoded.getLeft()));
      return null;
    }
    return postResponse(
        effect.round(),
        objects.write(effect.objectName(), encoded.get().bytes()),
        version -> new AcceptanceEvent.SnapshotWritten(effect.round()));
  }

  @Override
  public Void visitWriteRow(AcceptanceEffect.WriteRow effect) {
    return postResponse(
        effect.round(),
        table.write(
            ROW_KEY, effect.expectedVersion(), AcceptanceCodec.encodeRow(effect.row()).bytes()),
        result -> rowWriteResponse(effect.round(), result));
  }

  @Override
  public Void visitDeleteSnapshot(AcceptanceEffect.DeleteSnapshot effect) {
    var unused =
        objects
            .delete(effect.objectName())
            .thenAccept(
                result -> {
                  if (result.isLeft()) {
                    LOGGER.log(
                        Level.DEBUG,
                        "cannot delete snapshot {0}: {1}",
                        effect.objectName(),
                        result.getLeft().detail());
                  }
                });
    return null;
  }

  @Override
  public Void visitPublish(AcceptanceEffect.Publish effect) {
    listener.accept(effect.configuration());
    return null;
  }

  @Override
  public Void visitNotify(AcceptanceEffect.Notify effect) {
    notices.accept(effect.notice());
    return null;
  }

  @Override
  public Void visitStartTimer(AcceptanceEffect.StartTimer effect) {
    loop.startTimer(
        effect.timer(), effect.delayNanos(), new AcceptanceEvent.TimerFired(effect.timer()));
    return null;
  }

  @Override
  public Void visitCancelTimer(AcceptanceEffect.CancelTimer effect) {
    loop.cancelTimer(effect.timer());
    return null;
  }

  private static MergeOutcome merge(Vector<FolderFile> files) {
    Either<Vector<ConfigurationFault>, MergedConfiguration> merged;
    try {
      merged =
          ConfigurationFolder.merge(
              files.map(file -> new ConfigurationFile(file.name(), file.version(), file.text())));
    } catch (RuntimeException fault) {
      // Without a result the round would time out and the report would not show the reason.
      LOGGER.log(Level.ERROR, "merging the configuration files failed", fault);
      return new MergeOutcome.Invalid(
          Vector.of("merging the configuration files failed: " + fault));
    }
    return merged.fold(
        faults -> new MergeOutcome.Invalid(faults.map(ConfigurationFault::text)),
        found -> checkEncodable(found.cluster()));
  }

  /** Rejects a configuration that is too large to encode, so that the report shows the edit. */
  private static MergeOutcome checkEncodable(ClusterConfiguration cluster) {
    String digest = ConfigurationCodec.digest(cluster);
    Either<CodecError, Payload> encoded =
        ConfigurationCodec.encode(
            new AcceptedConfiguration(new Generation(Long.MAX_VALUE), digest, cluster));
    return encoded.isLeft()
        ? new MergeOutcome.Invalid(Vector.of(encoded.getLeft().detail()))
        : new MergeOutcome.Valid(cluster, digest);
  }

  private static Either<CodecError, Option<VersionedRow>> decodeRow(Option<TableRow> row) {
    return row.isEmpty()
        ? Either.right(Option.none())
        : AcceptanceCodec.decodeRow(row.get().value())
            .map(found -> Option.of(new VersionedRow(row.get().version(), found)));
  }

  private Option<AcceptedSnapshot> decodeSnapshot(StoredObject object) {
    Either<CodecError, AcceptedSnapshot> decoded = AcceptanceCodec.decodeSnapshot(object.content());
    if (decoded.isLeft()) {
      LOGGER.log(
          Level.WARNING,
          "cannot decode snapshot {0}: {1}",
          object.name(),
          decoded.getLeft().detail());
    }
    return decoded.toOption();
  }

  private static AcceptanceEvent rowWriteResponse(long round, TableWriteResult result) {
    if (result instanceof TableWriteResult.Written written) {
      return new AcceptanceEvent.RowWritten(round, written.version());
    }
    TableWriteResult.Conflict conflict = (TableWriteResult.Conflict) result;
    return decodeRow(conflict.currentRow())
        .fold(
            error -> storeRejected(round, error),
            found -> new AcceptanceEvent.RowConflicted(round, found));
  }

  private static AcceptanceEvent storeRejected(long round, CodecError error) {
    return new AcceptanceEvent.StoreFailed(
        round, new StoreFailure(StoreFailure.Kind.REJECTED, error.detail()));
  }

  private static StoreFailure storeFailure(PlatformError error) {
    if (error instanceof PlatformError.ResponseLost) {
      return new StoreFailure(StoreFailure.Kind.RESPONSE_LOST, error.detail());
    }
    return new StoreFailure(
        error instanceof PlatformError.Rejected
            ? StoreFailure.Kind.REJECTED
            : StoreFailure.Kind.UNAVAILABLE,
        error.detail());
  }

  private <T> Void postResponse(
      long round,
      CompletableFuture<Either<PlatformError, T>> response,
      Function<T, AcceptanceEvent> event) {
    var unused =
        response.whenComplete(
            (result, fault) -> {
              if (fault != null) {
                loop.post(
                    new AcceptanceEvent.StoreFailed(
                        round,
                        new StoreFailure(
                            StoreFailure.Kind.RESPONSE_LOST, String.valueOf(fault.getMessage()))));
              } else {
                loop.post(
                    result.fold(
                        error -> new AcceptanceEvent.StoreFailed(round, storeFailure(error)),
                        event));
              }
            });
    return null;
  }
}
