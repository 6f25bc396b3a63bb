package io.zinniawood.entry.reporting;

import io.zinniawood.core.entry.EntryState;
import io.zinniawood.core.message.Message;
import java.util.function.Consumer;

/** What the reports need of the entry process. */
public interface ReportedEntry {
  /** Passes the present state, which is immutable, to a reader that does not block. */
  void readState(Consumer<EntryState> reader);

  /** Passes counts to the entry that merges those of the data centre. */
  void publish(Message.ObjectiveCounts counts);
}
