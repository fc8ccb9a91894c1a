import java.util.Locale;

/** The configuration of a relay, like that of a small deployment. */
final class Settings {
    private Settings() {}

    /**
     * Returns the platform's file for one relay. Classes: status may run again, order must never run twice,
     * and keyed carries a key that is remembered for 5 s.
     */
    static String of(String known, String discovery, int maxCalls, int maxOpen) {
        return String.format(Locale.ROOT, """
            {"name": "@NAME@", "listen": "@LISTEN@", "discovery": "@DISCOVERY@", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
             "known": %s,
             "settings": {
              "balancers": 2, "ordinal": 0, "discovery": "%s", "weights": "nominal", "zones": ["here"],
              "locality": "here", "kinds": ["plain"],
              "family_info": {"max_calls": %d, "bundle_max": [1], "routes_apart": [false], "late": "by_half"},
              "limits": {"max_open": %d, "try_limit": 8, "cancel": true, "probes": true, "retry_after": true,
               "max_retry_after_ms": 3000.0, "connect_timeout_ms": 1000.0, "conn_idle_ms": 10000.0},
              "rules": {"cold_from": 0.18, "cold_ms": 9400.0, "fall_multiple": 2.0, "fall_ms": 2000.0,
               "answer_slack_ms": 20.0, "ask_every_ms": 10000.0, "stop_sending_within_ms": 250.0},
              "request_classes": [
               {"name": "status", "repeat": "pure", "worth": 1.0, "late_worth": 0.1, "on_time_ms": 1000.0,
                "give_up_ms": 8000.0},
               {"name": "order", "repeat": "side_effect", "worth": 1.0, "late_worth": 0.4,
                "on_time_ms": 3000.0, "give_up_ms": 28000.0},
               {"name": "keyed", "repeat": "token", "group": "all", "dedup_window_ms": 5000.0, "worth": 1.0,
                "late_worth": 0.4, "on_time_ms": 3000.0, "give_up_ms": 28000.0}],
              "tenants": [{"name": "acme", "quota_per_s": 10.0, "portion": 1.0}]}}
            """, known, discovery, maxCalls, maxOpen);
    }
}
