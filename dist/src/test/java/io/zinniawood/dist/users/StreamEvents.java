package io.zinniawood.dist.users;

/** Events of the streams of a {@link FaultyEndpoint}. */
final class StreamEvents {
  static final int LAST = 40;
  private static final String END_OF_EVENT = "\n\n";

  private StreamEvents() {}

  static String event(int number) {
    return "id: %d\ndata: token %d".formatted(number, number) + END_OF_EVENT;
  }

  /** Returns several events, without those after the last one of a stream. */
  static String events(int first, int count) {
    StringBuilder text = new StringBuilder();
    for (int number = first; number < first + count && number <= LAST; number++) {
      text.append(event(number));
    }
    return text.toString();
  }

  /** Returns the number of complete events in a text. */
  static int complete(String text) {
    return text.split(END_OF_EVENT, -1).length - 1;
  }
}
