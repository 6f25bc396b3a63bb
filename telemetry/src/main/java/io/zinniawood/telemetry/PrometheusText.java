package io.zinniawood.telemetry;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.Collector;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Writes a Dropwizard registry in the Prometheus text format. */
public final class PrometheusText {
  /** Media type of the Prometheus text format. */
  public static final String MEDIA_TYPE = TextFormat.CONTENT_TYPE_004;

  private final CollectorRegistry collectors = new CollectorRegistry();

  /** Creates a writer for the metrics of a registry. */
  public PrometheusText(MetricRegistry registry) {
    collectors.register(new DropwizardExports(registry, new LabelSampleBuilder()));
  }

  /** Returns the current values of all metrics in the text format. */
  public String render() {
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, collectors.metricFamilySamples());
    } catch (IOException exception) {
      throw new UncheckedIOException("cannot write metrics to a string", exception);
    }
    return text.toString();
  }

  private static final class LabelSampleBuilder implements SampleBuilder {
    @Override
    public Collector.MetricFamilySamples.Sample createSample(
        String dropwizardName,
        String nameSuffix,
        List<String> additionalLabelNames,
        List<String> additionalLabelValues,
        double value) {
      MetricName name = MetricName.parse(dropwizardName);
      List<String> labelNames = new ArrayList<>();
      List<String> labelValues = new ArrayList<>();
      for (MetricLabel label : name.labels()) {
        labelNames.add(label.name());
        labelValues.add(label.value());
      }
      labelNames.addAll(additionalLabelNames);
      labelValues.addAll(additionalLabelValues);
      String suffix = nameSuffix == null ? "" : nameSuffix;
      return new Collector.MetricFamilySamples.Sample(
          Collector.sanitizeMetricName(name.baseName() + suffix), labelNames, labelValues, value);
    }
  }
}
