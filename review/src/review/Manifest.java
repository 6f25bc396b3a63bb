package review;

/** The operator's manifest: a small deployment with one plain service. */
final class Manifest {
  private Manifest() {}

  static String text(int version) {
    return """
    {"version":%d,"routes":[
      {"name":"order","host":"site.example","prefix":"/order/","kind":"non_idempotent",
       "timeout_ms":10000,"target_latency_ms":500,"priority":2,"service":"app","max_attempts":1,
       "public":false,"sticky":false,"resumable":false},
      {"name":"status","host":"site.example","prefix":"/status/","kind":"idempotent",
       "timeout_ms":10000,"target_latency_ms":500,"priority":2,"service":"app","max_attempts":2,
       "public":false,"sticky":false,"resumable":false}],
     "services":[{"name":"app","health_path":"/health","max_connections":1000}],
     "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
      "idle_timeout_ms":15000},
     "tenants":[{"name":"tenant-1","api_keys":["key-1"]}]}
    """
        .formatted(version);
  }
}
