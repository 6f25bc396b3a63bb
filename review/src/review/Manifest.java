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

  /** A deployment with one model service whose replicas hold the whole model. */
  static String modelText(int version) {
    return """
    {"version":%d,"routes":[
      {"name":"ask","host":"site.example","prefix":"/ask/","kind":"streaming","timeout_ms":20000,
       "target_latency_ms":500,"priority":1,"service":"model","max_attempts":2,"public":false,
       "sticky":true,"resumable":true,"target_gap_ms":250}],
     "services":[{"name":"model","health_path":"/health","max_connections":898,"engine":{
       "slots":100,"kv_capacity_tokens":100000,"kv_token_bytes":100000,"link_mbps":400000.0,
       "stride":4,"models":[{"name":"m","pace":1.0,"load_s":1.0,"warm_s":1.0}],"step_ms":1.02,
       "per_seq_ms":0.0066,"context_per_k":0.0088,"read_per_s":164000.0,"pairs_per_m":0.199,
       "chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"delays":[],
       "usual":{"prompt":770,"answer":210},"layers":10,"layer_mb":1000.0,
       "activation_bytes":42268,"pipe_mbps":19000.0,
       "kinds":[{"name":"gpu","megabytes":20000.0,"pace":1.0,"read_x":1.0}]}}],
     "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
      "idle_timeout_ms":15000},
     "tenants":[{"name":"tenant-1","api_keys":["key-1"]}]}
    """
        .formatted(version);
  }
}
