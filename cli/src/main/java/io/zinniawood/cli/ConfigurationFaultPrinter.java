package io.zinniawood.cli;

import io.vavr.collection.Vector;
import io.zinniawood.config.ConfigurationFault;
import java.io.PrintStream;

/** Prints faults of settings and configuration files to standard error. */
final class ConfigurationFaultPrinter {
  private ConfigurationFaultPrinter() {}

  /** Prints one line for each fault. */
  static void print(Vector<ConfigurationFault> faults, PrintStream err) {
    faults.forEach(fault -> err.println(fault.text()));
  }
}
