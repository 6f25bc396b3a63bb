package io.zinniawood.engine.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.vavr.control.Either;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.engine.EngineError;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Json;
import io.zinniawood.http.MalformedResponseException;

/** Encodes orders to engines as JSON and decodes their outcomes. */
final class OrderCodec {
  private OrderCodec() {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record OrderBody(
      long fencingNumber,
      String order,
      String model,
      String version,
      Integer fromLayer,
      Integer toLayerExclusive,
      String adapter,
      String role) {}

  static byte[] encode(FencingNumber fencingNumber, EngineOrder order) {
    return Json.toBytes(body(fencingNumber.value(), order));
  }

  private static OrderBody body(long fencingNumber, EngineOrder order) {
    if (order instanceof EngineOrder.LoadModel load) {
      return new OrderBody(
          fencingNumber,
          "load-model",
          load.model().value(),
          load.version(),
          load.layers().fromLayer(),
          load.layers().toLayerExclusive(),
          null,
          null);
    }
    if (order instanceof EngineOrder.LoadAdapter load) {
      return new OrderBody(
          fencingNumber,
          "load-adapter",
          load.model().value(),
          null,
          null,
          null,
          load.adapter(),
          null);
    }
    EngineOrder.ChangeRole change = (EngineOrder.ChangeRole) order;
    return new OrderBody(
        fencingNumber, "change-role", null, null, null, null, null, change.role().name());
  }

  static Either<EngineError, OrderOutcome> decode(HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return EngineResponses.errorForStatus(response);
    }
    String outcome = Json.stringField(Json.parseObject(response.body()), "outcome");
    try {
      return Either.right(OrderOutcome.valueOf(outcome));
    } catch (IllegalArgumentException e) {
      throw new MalformedResponseException("unknown order outcome \"" + outcome + "\"", e);
    }
  }
}
