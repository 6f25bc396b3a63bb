package io.zinniawood.core.quarantine;

import java.util.List;

/**
 * What a router tells the others of crashes.
 *
 * @param held parts that it holds back
 * @param crashes recent crashes with the parts that may have caused them
 * @param sound parts that were suspected in these crashes and have proved sound since
 */
public record QuarantineNotice(
    List<HeldPartNotice> held, List<CrashReport> crashes, List<SoundPartNotice> sound) {
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
