package io.zinniawood.core.quarantine;

import java.util.List;

/**
 * What a router tells the others of crashes.
 *
 * @param held subjects that it holds back
 * @param crashes recent crashes with their possible causes
 * @param sound subjects that were suspected in these crashes and have proved sound since
 */
public record QuarantineNotice(
    List<HeldSubjectNotice> held, List<CrashReport> crashes, List<SoundSubjectNotice> sound) {
  /** Notice of a router that knows of no crash. */
  public static final QuarantineNotice EMPTY =
      new QuarantineNotice(List.of(), List.of(), List.of());

  /** Makes unmodifiable copies of the lists. */
  public QuarantineNotice {
    held = List.copyOf(held);
    crashes = List.copyOf(crashes);
    sound = List.copyOf(sound);
  }

  /** Returns whether the notice says nothing. */
  public boolean isEmpty() {
    return held.isEmpty() && crashes.isEmpty() && sound.isEmpty();
  }
}
