package io.zinniawood.store;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** The platform's list of VMs, which lags behind reality. */
public interface VmList {
  /** Reads the list. */
  CompletableFuture<Either<PlatformError, VmListing>> read();
}
