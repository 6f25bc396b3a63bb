package io.zinniawood.entry.internal.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** JSON form of the controller lease. */
public final class LeaseRowCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private LeaseRowCodec() {}

  static byte[] encode(LeaseRow row) {
    return MAPPER
        .createObjectNode()
        .put("holder", row.holder().value())
        .put("fencingNumber", row.fencingNumber().value())
        .put("renewals", row.renewals())
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Reads a row; never throws. */
  public static Either<String, LeaseRow> decode(byte[] value) {
    try {
      JsonNode json = MAPPER.readTree(value);
      boolean valid =
          json.path("holder").isTextual()
              && json.path("fencingNumber").canConvertToLong()
              && json.path("renewals").canConvertToLong();
      return valid
          ? Either.right(
              new LeaseRow(
                  new VmId(json.path("holder").textValue()),
                  new FencingNumber(json.path("fencingNumber").longValue()),
                  json.path("renewals").longValue()))
          : Either.left("lease row lacks holder, fencingNumber or renewals");
    } catch (IOException | IllegalArgumentException invalid) {
      return Either.left("lease row is not valid JSON of a lease");
    }
  }
}
