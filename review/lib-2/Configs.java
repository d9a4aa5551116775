import java.util.List;
import java.util.Map;

/** Configurations that several cases use. */
final class Configs {

    private static final String KEY = "9dnn2ctnfzs989anu6ws";

    private Configs() {}

    /** A stream route with two stages, and one client account. */
    static String streams() {
        Map<String, Object> route = Json.of("Name", "r-one", "Host", "pule25.example", "PathPrefix", "/puxa400/", "RouteType", "stream",
                "TimeoutMs", 15000, "SloMs", 1900, "Priority", 0, "Service", "huvo11a", "MaxAttempts", 2,
                "Stages", List.of(Json.of("Service", "kafi81c", "After", List.of(), "SizeBytes", 8000),
                        Json.of("Service", "lovo22d", "After", List.of(0), "SizeBytes", 60000)),
                "Public", false, "Sticky", true, "Resumable", true, "GapTargetMs", 200);
        Map<String, Object> engine = Json.of("Slots", 64, "KvCapacityTokens", 860173, "KvTokenBytes", 35136, "LinkMbps", 550000.0,
                "Moves", true, "Backups", true, "Stride", 6, "most", 12, "PinMs", 4000.0, "HoldMs", 2000.0, "HandleS", 5.0,
                "Models", List.of(Json.of("Name", "m")));
        return Json.write(Json.of("Version", 7, "Routes", List.of(route),
                "Services", List.of(
                        Json.of("Name", "huvo11a", "HealthPath", "/healthz", "MaxConns", 370, "Protocol", "h1", "Tls", false, "Engine", engine),
                        stage("kafi81c"), stage("lovo22d")),
                "Limits", Json.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000),
                "Tenants", List.of(Json.of("Name", "bozi300", "ApiKeys", List.of(KEY), "Priority", 1))));
    }

    private static Map<String, Object> stage(String name) {
        return Json.of("Name", name, "HealthPath", "/healthz", "MaxConns", 370, "Protocol", "h1", "Tls", false,
                "Pieces", Json.of("Slots", 1, "Queue", 2, "Batch", 12, "CallMs", 240.0, "ItemMs", 17.5, "HeadroomMb", 14.57,
                        "HandleS", 4.0, "LinkMbps", 10000));
    }
}
