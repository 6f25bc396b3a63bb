package io.zinniawood.telemetry;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;

/** Adapts an HDR histogram to the Dropwizard snapshot. */
final class HdrSnapshot extends Snapshot {
  private static final double PERCENT = 100;

  private final Histogram histogram;

  HdrSnapshot(Histogram histogram) {
    this.histogram = histogram;
  }

  @Override
  public double getValue(double quantile) {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(quantile * PERCENT);
  }

  /** Returns the percentiles 0 to 100 because the histogram does not keep the recorded values. */
  @Override
  public long[] getValues() {
    long[] values = new long[(int) PERCENT + 1];
    for (int percent = 0; percent < values.length; percent++) {
      values[percent] = histogram.getValueAtPercentile(percent);
    }
    return values;
  }

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
  }

  @Override
  public long getMax() {
    return histogram.getMaxValue();
  }

  @Override
  public double getMean() {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getMean();
  }

  @Override
  public long getMin() {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
  }

  @Override
  public double getStdDev() {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getStdDeviation();
  }

  @Override
  public void dump(OutputStream output) {
    PrintWriter writer = new PrintWriter(output, true, StandardCharsets.UTF_8);
    for (long value : getValues()) {
      writer.println(value);
    }
  }
}
