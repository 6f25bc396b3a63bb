package io.zinniawood.store.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Encodes the controller lease as JSON and decodes it. */
public final class LeaseRowCodec {
  /** Table key of the controller lease row. */
  public static final String ROW_KEY = "lease/controller";

  private static final String HOLDER = "holder";
  private static final String FENCING_NUMBER = "fencingNumber";
  private static final String RENEWALS = "renewals";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private LeaseRowCodec() {}

  /** Encodes a lease as the value of its row. */
  public static byte[] encode(LeaseRow row) {
    return MAPPER
        .createObjectNode()
        .put(HOLDER, row.holder().value())
        .put(FENCING_NUMBER, row.fencingNumber().value())
        .put(RENEWALS, row.renewals())
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Decodes the value of a row; returns a description of the error if it is not a valid lease. */
  public static Either<String, LeaseRow> decode(byte[] value) {
    try {
      JsonNode json = MAPPER.readTree(value);
      Option<Long> fencingNumber = longField(json, FENCING_NUMBER);
      Option<Long> renewals = longField(json, RENEWALS);
      if (!json.path(HOLDER).isTextual() || fencingNumber.isEmpty() || renewals.isEmpty()) {
        return Either.left(
            "lease row must have a text holder and integer fencingNumber and renewals");
      }
      return Either.right(
          new LeaseRow(
              new VmId(json.path(HOLDER).textValue()),
              new FencingNumber(fencingNumber.get()),
              renewals.get()));
    } catch (IOException | IllegalArgumentException invalid) {
      return Either.left("lease row is not valid JSON or has an invalid value");
    }
  }

  /** Decodes only the fencing number of a row; returns none if it is missing or invalid. */
  public static Option<FencingNumber> fencingNumber(byte[] value) {
    try {
      return longField(MAPPER.readTree(value), FENCING_NUMBER).map(FencingNumber::new);
    } catch (IOException | IllegalArgumentException invalid) {
      return Option.none();
    }
  }

  private static Option<Long> longField(JsonNode json, String field) {
    JsonNode number = json.path(field);
    return number.isIntegralNumber() && number.canConvertToLong()
        ? Option.some(number.longValue())
        : Option.none();
  }
}
