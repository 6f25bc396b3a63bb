package io.zinniawood.dist.users;

/** JSON document with the relay's routes, as the operator of the users' platform writes it. */
public final class RoutesDocument {
  private static final String TEMPLATE =
      """
      {"version":%d,"routes":[
        {"name":"ask","host":"127.0.0.1","prefix":"/ask/","kind":"streaming",
         "timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"model",
         "max_attempts":2,"public":false,
         "sticky":true,"resumable":true,"target_gap_ms":250},
        {"name":"book","host":"127.0.0.1","prefix":"/book/","kind":"non_idempotent",
         "timeout_ms":5000,"target_latency_ms":500,"priority":1,"service":"plain","max_attempts":1},
        {"name":"read","host":"127.0.0.1","prefix":"/read/","kind":"idempotent",
         "timeout_ms":5000,"target_latency_ms":500,"priority":1,"service":"plain",
         "max_attempts":2}],
       "services":[
        {"name":"model","health_path":"/health","max_connections":100,"engine":{"slots":10,
         "kv_token_bytes":100000,"stride":4,"models":[{"name":"m","load_s":0.1}],"step_ms":1,
         "per_seq_ms":0.005,"context_per_k":0.005,"read_per_s":100000,"loads_at_once":6,
         "usual":{"prompt":500,"answer":200},"layers":10,"layer_mb":1000,"activation_bytes":10000,
         "kinds":[{"name":"gpu","megabytes":20000,"pace":1,"read_x":1}]}},
        {"name":"plain","health_path":"/health","max_connections":100}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
        "idle_timeout_ms":15000},
       "tenants":[{"name":"account","api_keys":["%s"]}]}
      """;

  private RoutesDocument() {}

  /**
   * Returns routes to a model and to a plain service, with one client account.
   *
   * @param version version of the routes document
   * @param key the only API key that the routes accept
   */
  public static String json(int version, String key) {
    return TEMPLATE.formatted(version, key);
  }
}
