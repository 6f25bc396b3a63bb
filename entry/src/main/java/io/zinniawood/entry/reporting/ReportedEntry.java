package io.zinniawood.entry.reporting;

import io.zinniawood.core.entry.EntryState;
import io.zinniawood.core.message.Message;
import java.util.function.Consumer;

/** The part of the entry process that its reports use. */
public interface ReportedEntry {
  /** Passes the current, immutable state to the reader, which must not block. */
  void readState(Consumer<EntryState> reader);

  /** Sends counts to the entry that merges those of the data centre. */
  void publish(Message.ObjectiveCounts counts);
}
