package io.zinniawood.entry.internal;

import io.vavr.control.Option;
import io.zinniawood.core.entry.ClaimReadResult;
import io.zinniawood.core.entry.ClaimReleaseResult;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;

/** Results of effects that could not be executed, so that no decision waits for them. */
public final class FailedEffects {
  private FailedEffects() {}

  /**
   * Returns the event that ends what the effect began; none if nothing waits for the effect or a
   * timer covers it.
   */
  public static Option<EntryEvent> resultOf(EntryEffect effect) {
    if (effect instanceof EntryEffect.ReadClaim read) {
      return Option.some(
          new EntryEvent.ClaimRead(read.request(), new ClaimReadResult.Unavailable()));
    }
    if (effect instanceof EntryEffect.ReleaseClaim release) {
      return Option.some(
          new EntryEvent.ClaimReleaseCompleted(
              release.request(), release.attempt(), new ClaimReleaseResult.Unavailable()));
    }
    if (effect instanceof EntryEffect.ConnectAgent connect) {
      return Option.some(new EntryEvent.AgentConnectFailed(connect.endpoint()));
    }
    return effect instanceof EntryEffect.ReadLease || effect instanceof EntryEffect.WriteLease
        ? Option.some(new EntryEvent.LeaseUnavailable())
        : Option.none();
  }
}
