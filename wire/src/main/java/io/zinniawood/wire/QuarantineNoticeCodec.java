package io.zinniawood.wire;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.quarantine.CrashCandidate;
import io.zinniawood.core.quarantine.CrashId;
import io.zinniawood.core.quarantine.CrashReport;
import io.zinniawood.core.quarantine.HeldPartNotice;
import io.zinniawood.core.quarantine.QuarantineNotice;
import io.zinniawood.core.quarantine.SoundPartNotice;
import io.zinniawood.wire.generated.RelayProto;

/** Encodes and decodes the part of a datagram about parts of prompts that crash endpoints. */
final class QuarantineNoticeCodec {
  private QuarantineNoticeCodec() {}

  static RelayProto.QuarantineNotice encode(QuarantineNotice notice) {
    RelayProto.QuarantineNotice.Builder builder = RelayProto.QuarantineNotice.newBuilder();
    for (HeldPartNotice held : notice.held()) {
      builder.addHeld(
          RelayProto.HeldPart.newBuilder()
              .setPart(held.part().value())
              .setCrashes(held.crashes())
              .setFailedTrials(held.failedTrials())
              .setLastCrashAgeMillis(toUnsigned(held.lastCrashAgeMillis())));
    }
    for (CrashReport report : notice.crashes()) {
      builder.addCrashes(encodeReport(report));
    }
    for (SoundPartNotice sound : notice.sound()) {
      builder.addSound(
          RelayProto.SoundPart.newBuilder()
              .setPart(sound.part().value())
              .setAgeMillis(toUnsigned(sound.ageMillis())));
    }
    return builder.build();
  }

  private static RelayProto.CrashReport encodeReport(CrashReport report) {
    RelayProto.CrashReport.Builder builder =
        RelayProto.CrashReport.newBuilder()
            .setEndpoint(report.crash().endpoint().value())
            .setStartedMillis(report.crash().startedMillis())
            .setAgeMillis(toUnsigned(report.ageMillis()));
    for (CrashCandidate candidate : report.candidates()) {
      builder.addCandidates(
          RelayProto.CrashCandidate.newBuilder()
              .setPart(candidate.part().value())
              .setWaitedMillis(toUnsigned(candidate.waitedMillis()))
              .setPosition(candidate.position()));
    }
    return builder.build();
  }

  /**
   * Decodes a notice.
   *
   * @throws IllegalArgumentException if an id is blank or too long
   */
  static QuarantineNotice decode(RelayProto.QuarantineNotice notice) {
    return new QuarantineNotice(
        notice.getHeldList().stream()
            .map(
                held ->
                    new HeldPartNotice(
                        new PromptPartId(held.getPart()),
                        held.getCrashes(),
                        held.getFailedTrials(),
                        Integer.toUnsignedLong(held.getLastCrashAgeMillis())))
            .toList(),
        notice.getCrashesList().stream().map(QuarantineNoticeCodec::decodeReport).toList(),
        notice.getSoundList().stream()
            .map(
                sound ->
                    new SoundPartNotice(
                        new PromptPartId(sound.getPart()),
                        Integer.toUnsignedLong(sound.getAgeMillis())))
            .toList());
  }

  private static CrashReport decodeReport(RelayProto.CrashReport report) {
    return new CrashReport(
        new CrashId(new EndpointId(report.getEndpoint()), report.getStartedMillis()),
        Integer.toUnsignedLong(report.getAgeMillis()),
        report.getCandidatesList().stream()
            .map(
                candidate ->
                    new CrashCandidate(
                        new PromptPartId(candidate.getPart()),
                        Integer.toUnsignedLong(candidate.getWaitedMillis()),
                        candidate.getPosition()))
            .toList());
  }

  private static int toUnsigned(long millis) {
    return (int) Math.min(Integer.MAX_VALUE, millis);
  }
}
