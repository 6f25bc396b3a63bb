package io.zinniawood.report.page;

import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Tone;

/**
 * Age of the figures of a data centre.
 *
 * @param dataCentre data centre
 * @param lastEpochMillis time of its last figures in milliseconds since 1970, none if there are
 *     none
 */
public record DataCentreFreshness(String dataCentre, Option<Long> lastEpochMillis) {

  /** Returns a line that says what is missing, none if the figures are recent. */
  public Option<Block> missingDataLine(long nowEpochMillis, long oldMillis) {
    if (lastEpochMillis.isEmpty()) {
      return Option.of(
          new Block.Line(
              Tone.UNKNOWN,
              "No figures of %s have arrived. What happened there is not in this report."
                  .formatted(dataCentre)));
    }
    long ageMillis = nowEpochMillis - lastEpochMillis.get();
    if (ageMillis <= oldMillis) {
      return Option.none();
    }
    return Option.of(
        new Block.Line(
            Tone.UNKNOWN,
            "The figures of %s end at %s, %s ago. What happened there since is not in this report."
                .formatted(
                    dataCentre,
                    DisplayFormat.timeToMinute(lastEpochMillis.get()),
                    DisplayFormat.duration(ageMillis))));
  }
}
