package review;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A replica answers a request with a long body before it has read it, without a length, and is
 * killed in the middle of its answer. The client must not get the first half as a whole answer.
 */
final class EarlyAnswerCut {
  private static final int REQUEST_BYTES = 4_000_000;

  private EarlyAnswerCut() {}

  static boolean held(Record record, Path folder, boolean trouble) throws Exception {
    try (Processes processes = new Processes(folder)) {
      Store store = new Store(record);
      store.put("op", "config", Manifest.text(1));
      CountDownLatch half = new CountDownLatch(1);
      Process replica =
          processes.replica(
              line -> {
                record.line("replica: " + line.substring(line.indexOf(' ') + 1));
                if (line.contains(" half ")) {
                  half.countDown();
                }
              },
              "i-1",
              "app",
              Integer.toString(store.port()),
              "early",
              "5000");
      Processes.Relay relay =
          processes.relay("front-1", store.port(), Processes.freePort(), false);
      relay.awaitReady();
      Thread.sleep(2_000);
      Thread killer =
          new Thread(
              () -> {
                try {
                  if (half.await(20, TimeUnit.SECONDS)) {
                    Thread.sleep(300);
                    replica.destroyForcibly();
                    record.line("SIGKILL to the replica");
                  }
                } catch (InterruptedException interrupted) {
                  Thread.currentThread().interrupt();
                }
              });
      if (trouble) {
        killer.start();
      }
      String id = "9c41d07be2a35f68";
      record.line("client: POST /order/1, " + REQUEST_BYTES + " bytes, Attempt-Id " + id);
      Http.Answer answer =
          Http.send(relay.callers(), "POST", "/order/1", id, 10_000, new byte[REQUEST_BYTES]);
      record.line("client gets " + (answer == null ? "a closed channel" : answer));
      if (half.getCount() > 0) {
        throw new Processes.CannotRun("the replica did not get the request");
      }
      boolean success = answer != null && answer.status() / 100 == 2 && answer.complete();
      boolean whole =
          success && Arrays.equals(answer.body(), Http.bodyOf(id, Replica.ANSWER_BYTES));
      if (!trouble && !whole) {
        record.line("without the disruption the whole answer was expected");
        return false;
      }
      if (success && !whole) {
        record.line(
            "MIXED: a success that looks complete, with "
                + answer.body().length
                + " of the replica's "
                + Replica.ANSWER_BYTES
                + " bytes");
        return false;
      }
      return true;
    }
  }
}
