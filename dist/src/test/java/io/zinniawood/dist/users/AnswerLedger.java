package io.zinniawood.dist.users;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32;

/** Record of the answers of an endpoint, which survives a kill of the endpoint. */
public final class AnswerLedger {
  /** Begins each signature that a ledger records. */
  public static final String SIGNATURE_PREFIX = "ledger-";

  private final FileChannel file;

  private AnswerLedger(FileChannel file) {
    this.file = file;
  }

  /** Opens a ledger for writing. */
  public static AnswerLedger append(Path path) throws IOException {
    return new AnswerLedger(
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  /** Returns the lines of a ledger, each split into its words. */
  public static List<String[]> read(Path path) {
    try {
      return Files.exists(path)
          ? Files.readAllLines(path).stream().map(line -> line.split(" ")).toList()
          : List.of();
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot read ledger " + path, failure);
    }
  }

  /** Returns a checksum of a body. */
  public static String checksum(byte[] body) {
    CRC32 checksum = new CRC32();
    checksum.update(body);
    return body.length + ":" + Long.toHexString(checksum.getValue());
  }

  /** Records that a request begins to run. */
  void run(String signature, String request) throws IOException {
    write("run " + signature + " " + request);
  }

  /** Records a plain answer before its last bytes are sent. */
  void plain(String signature, int status, String body, boolean whole) throws IOException {
    write(
        "plain %s %d %s %s"
            .formatted(
                signature, status, checksum(body.getBytes(StandardCharsets.UTF_8)), end(whole)));
  }

  /** Records a stream before its end is sent; an empty stream has a last event before the first. */
  void stream(String signature, int status, int firstEvent, int lastEvent, boolean whole)
      throws IOException {
    write("stream %s %d %d-%d %s".formatted(signature, status, firstEvent, lastEvent, end(whole)));
  }

  /** Records that all bytes of an answer were written. */
  void written(String signature) throws IOException {
    write("written " + signature);
  }

  private static String end(boolean whole) {
    return whole ? "whole" : "part";
  }

  private synchronized void write(String line) throws IOException {
    file.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
  }
}
