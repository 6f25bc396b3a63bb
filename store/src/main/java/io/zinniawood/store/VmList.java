package io.zinniawood.store;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's VM list. The list may be out of date. */
public interface VmList {
  /** Reads the current VM list. */
  CompletableFuture<Either<PlatformError, VmListing>> read();
}
