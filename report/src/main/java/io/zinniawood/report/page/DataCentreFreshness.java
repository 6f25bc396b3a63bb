package io.zinniawood.report.page;

import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Tone;

/**
 * Time of the latest figures from a data centre.
 *
 * @param dataCentre name of the data centre
 * @param lastEpochMillis time of its latest figures in milliseconds since 1970, none if no figures
 *     have arrived
 */
public record DataCentreFreshness(String dataCentre, Option<Long> lastEpochMillis) {

  /** Returns a line about missing or outdated figures, none if they are recent enough. */
  public Option<Block> missingDataLine(long nowEpochMillis, long staleAfterMillis) {
    if (lastEpochMillis.isEmpty()) {
      return Option.of(
          new Block.Line(
              Tone.UNKNOWN,
              "No figures of %s have arrived. What happened there is not in this report."
                  .formatted(dataCentre)));
    }
    long ageMillis = nowEpochMillis - lastEpochMillis.get();
    if (ageMillis <= staleAfterMillis) {
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
