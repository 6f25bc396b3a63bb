package io.zinniawood.wire;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestFingerprint;
import io.zinniawood.core.quarantine.CrashCandidate;
import io.zinniawood.core.quarantine.CrashId;
import io.zinniawood.core.quarantine.CrashReport;
import io.zinniawood.core.quarantine.HeldSubjectNotice;
import io.zinniawood.core.quarantine.QuarantineNotice;
import io.zinniawood.core.quarantine.SoundSubjectNotice;
import io.zinniawood.core.quarantine.StartOrder;
import io.zinniawood.wire.generated.RelayProto;
import java.util.Optional;

/** Encodes and decodes the part of a datagram about what crashes endpoints. */
final class QuarantineNoticeCodec {
  private QuarantineNoticeCodec() {}

  static RelayProto.QuarantineNotice encode(QuarantineNotice notice) {
    RelayProto.QuarantineNotice.Builder builder = RelayProto.QuarantineNotice.newBuilder();
    for (HeldSubjectNotice held : notice.held()) {
      builder.addHeld(
          RelayProto.HeldPart.newBuilder()
              .setPart(held.subject().value())
              .setKind(kind(held.subject()))
              .setCrashes(held.crashes())
              .setFailedTrials(held.failedTrials())
              .setLastCrashAgeMillis(toUnsigned(held.lastCrashAgeMillis())));
    }
    for (CrashReport report : notice.crashes()) {
      builder.addCrashes(encodeReport(report));
    }
    for (SoundSubjectNotice sound : notice.sound()) {
      builder.addSound(
          RelayProto.SoundPart.newBuilder()
              .setPart(sound.subject().value())
              .setKind(kind(sound.subject()))
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
              .setPart(candidate.subject().value())
              .setKind(kind(candidate.subject()))
              .setRequest(candidate.request().map(RequestFingerprint::value).orElse(""))
              .setWaitedMillis(toUnsigned(candidate.waitedMillis()))
              .setStartOrderUnknown(candidate.startOrder() == StartOrder.UNKNOWN)
              .setPosition(candidate.position()));
    }
    return builder.build();
  }

  /**
   * Decodes a notice, without what a later build knows as another kind.
   *
   * @throws IllegalArgumentException if an id is blank or too long
   */
  static QuarantineNotice decode(RelayProto.QuarantineNotice notice) {
    return new QuarantineNotice(
        notice.getHeldList().stream()
            .filter(held -> held.getKind() != RelayProto.SubjectKind.UNRECOGNIZED)
            .map(
                held ->
                    new HeldSubjectNotice(
                        subject(held.getKind(), held.getPart()),
                        held.getCrashes(),
                        held.getFailedTrials(),
                        Integer.toUnsignedLong(held.getLastCrashAgeMillis())))
            .toList(),
        notice.getCrashesList().stream().map(QuarantineNoticeCodec::decodeReport).toList(),
        notice.getSoundList().stream()
            .filter(sound -> sound.getKind() != RelayProto.SubjectKind.UNRECOGNIZED)
            .map(
                sound ->
                    new SoundSubjectNotice(
                        subject(sound.getKind(), sound.getPart()),
                        Integer.toUnsignedLong(sound.getAgeMillis())))
            .toList());
  }

  private static CrashReport decodeReport(RelayProto.CrashReport report) {
    return new CrashReport(
        new CrashId(new EndpointId(report.getEndpoint()), report.getStartedMillis()),
        Integer.toUnsignedLong(report.getAgeMillis()),
        report.getCandidatesList().stream()
            .filter(candidate -> candidate.getKind() != RelayProto.SubjectKind.UNRECOGNIZED)
            .map(
                candidate ->
                    new CrashCandidate(
                        subject(candidate.getKind(), candidate.getPart()),
                        Integer.toUnsignedLong(candidate.getWaitedMillis()),
                        candidate.getStartOrderUnknown() ? StartOrder.UNKNOWN : StartOrder.ARRIVAL,
                        candidate.getPosition(),
                        candidate.getRequest().isEmpty()
                            ? Optional.empty()
                            : Optional.of(new RequestFingerprint(candidate.getRequest()))))
            .toList());
  }

  private static RelayProto.SubjectKind kind(CrashSubject subject) {
    return subject instanceof RequestFingerprint
        ? RelayProto.SubjectKind.REQUEST
        : RelayProto.SubjectKind.PROMPT_PART;
  }

  private static CrashSubject subject(RelayProto.SubjectKind kind, String value) {
    return kind == RelayProto.SubjectKind.REQUEST
        ? new RequestFingerprint(value)
        : new PromptPartId(value);
  }

  private static int toUnsigned(long millis) {
    return (int) Math.min(Integer.MAX_VALUE, millis);
  }
}
