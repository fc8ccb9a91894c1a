package yewpath.boot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewpath.PolicySettings;

/** The settings by path, from either wire; keys it does not know are skipped, absent ones read as off. */
public final class PlatformSettings {
    public final PolicySettings policySettings = new PolicySettings();
    public final NameTable zones = new NameTable();
    public final NameTable kinds = new NameTable();
    public final NameTable messageClasses = new NameTable();
    public final NameTable tenants = new NameTable();
    public final List<String> reportFields;
    public int remainingShareColumn = -1;
    public int reportedLimitColumn = -1;
    private final Map<String, String> pairs;
    private final boolean written;

    /** Reads settings from path=value fields, from the given index on. */
    public static PlatformSettings ofFields(String[] fields, int first) {
        Map<String, String> pairs = new HashMap<>();
        for (int i = first; i < fields.length; i++) {
            int equals = fields[i].indexOf('=');
            if (equals <= 0) {
                throw new InvalidInputException("a setting without a value: " + fields[i]);
            }
            pairs.put(fields[i].substring(0, equals), fields[i].substring(equals + 1));
        }
        return new PlatformSettings(pairs, false);
    }

    /**
     * {@code written}: a file that somebody wrote, whose faults are refused. A wire may well tell what belongs to no
     * deployment whole, and is taken as it is.
     */
    public PlatformSettings(Map<String, String> pairs, boolean written) {
        this.pairs = pairs;
        this.written = written;
        PolicySettings s = policySettings;
        s.relayCount = (int) number("balancers");
        s.relayIndex = (int) number("ordinal");
        s.maxConcurrentCalls = (int) number("family_info.max_calls");
        s.maxOpenMessages = (int) number("limits.max_open");
        s.maxAttempts = (int) number("limits.try_limit");
        s.probesAllowed = yes("limits.probes");
        s.peerMessagesAllowed = yes("limits.peers");
        s.cancelAllowed = yes("limits.cancel");
        s.listOnRequest = "on_request".equals(pairs.get("discovery"));
        s.listedRateIsApproximate = "rough".equals(pairs.get("weights"));
        s.listReportsRate = s.listedRateIsApproximate || "nominal".equals(pairs.get("weights"));
        s.lateRevenueHalves = "by_half".equals(pairs.get("family_info.late"));
        s.overShareWorth = number("over_share_worth");
        s.reportsRetryAfter = yes("limits.retry_after");
        s.maxRetryAfterMicros = micros("limits.max_retry_after_ms");
        refuse(s.maxRetryAfterMicros < 0,
            "limits.max_retry_after_ms is below 0: " + pairs.get("limits.max_retry_after_ms"));
        s.refusalPrice = number("family_info.turned_away_price");
        s.answerSlackMicros = micros("rules.answer_slack_ms");
        s.listRequestIntervalMicros = micros("rules.ask_every_ms");
        s.warmUpInitialShare = number("rules.cold_from");
        s.warmUpMicros = micros("rules.cold_ms");
        s.collapseMultiple = number("rules.fall_multiple");
        s.collapseWindowMicros = micros("rules.fall_ms");
        s.settleAfterUncertainMicros = micros("rules.settle_after_doubt_ms");
        s.connectTimeoutMicros = micros("limits.connect_timeout_ms");
        s.idleConnectionTimeoutMicros = micros("limits.conn_idle_ms");
        String[] zoneNames = list("zones");
        for (String zone : zoneNames) {
            zones.getOrAdd(zone);
        }
        String locality = pairs.get("locality");
        s.zone = locality == null ? -1 : zones.find(locality);
        refuse(locality != null && s.zone < 0, "locality: no such name in zones: " + locality);
        double crossing = part("prices.cross_zone", pairs.get("prices.cross_zone"));
        s.crossZonePrice = locality == null ? 0 : crossing;
        String[] fees = list("family_info.carriage");
        asMany("family_info.carriage", fees, "zones", zoneNames);
        s.zoneFees = new double[fees.length];
        for (int i = 0; i < fees.length; i++) {
            s.zoneFees[i] = part("family_info.carriage." + i, fees[i]);
        }
        String[] kindNames = list("kinds");
        String[] apart = list("family_info.routes_apart");
        String[] bundle = list("family_info.bundle_max");
        asMany("family_info.routes_apart", apart, "kinds", kindNames);
        asMany("family_info.bundle_max", bundle, "kinds", kindNames);
        s.limitPerEndpoint = new boolean[kindNames.length];
        s.maxBatchSize = new int[kindNames.length];
        for (int i = 0; i < kindNames.length; i++) {
            kinds.getOrAdd(kindNames[i]);
            s.limitPerEndpoint[i] = i < apart.length && isYes(apart[i]);
            s.maxBatchSize[i] = i < bundle.length ? (int) parse("family_info.bundle_max." + i, bundle[i]) : 1;
        }
        s.messageClasses = new PolicySettings.MessageClass[(int) number("request_classes.count")];
        for (int i = 0; i < s.messageClasses.length; i++) {
            String at = "request_classes." + i + ".";
            messageClasses.getOrAdd(pairs.getOrDefault(at + "name", "#" + i));
            s.messageClasses[i] = new PolicySettings.MessageClass(number(at + "worth"),
                number(at + "late_worth"),
                micros(at + "on_time_ms"), micros(at + "give_up_ms"), kind(at + "repeat"),
                "zone".equals(pairs.get(at + "group")), micros(at + "dedup_window_ms"),
                yes(at + "fifo_by_key"));
        }
        s.tenants = new PolicySettings.Tenant[(int) number("tenants.count")];
        for (int i = 0; i < s.tenants.length; i++) {
            String at = "tenants." + i + ".";
            tenants.getOrAdd(pairs.getOrDefault(at + "name", "#" + i));
            s.tenants[i] = new PolicySettings.Tenant(number(at + "quota_per_s"), number(at + "portion"));
        }
        String[] report = list("load_report.fields");
        reportFields = List.of(report);
        for (int i = 0; i < report.length; i++) {
            if (report[i].equals("x0")) {
                remainingShareColumn = i;
            } else if (report[i].equals("x1")) {
                reportedLimitColumn = i;
            }
        }
    }

    /** Of an effect that is not told, or not known, the most careful is taken; who wrote a word is told that it means nothing. */
    private PolicySettings.DeliverySemantics kind(String path) {
        String word = pairs.getOrDefault(path, "side_effect");
        refuse(!List.of("pure", "token", "side_effect").contains(word),
            path + " is none of pure, token and side_effect: " + word);
        return word.equals("pure") ? PolicySettings.DeliverySemantics.IDEMPOTENT
            : word.equals("token") ? PolicySettings.DeliverySemantics.DEDUPLICATED
                : PolicySettings.DeliverySemantics.AT_MOST_ONCE;
    }

    /** A share of an envelope's revenue; none where nothing is told. */
    private double part(String path, String told) {
        if (told == null || told.isEmpty() || told.equals("-")) {
            return 0;
        }
        double value = parse(path, told);
        refuse(!(value >= 0 && value <= 1), path + " is not from 0 to 1: " + told);
        return value;
    }

    private void asMany(String path, String[] values, String namesPath, String[] names) {
        refuse(values.length > 0 && values.length != names.length,
            path + " has " + values.length + " values where " + namesPath + " has " + names.length
                + " names");
    }

    private void refuse(boolean wrong, String fault) {
        if (written && wrong) {
            throw new InvalidInputException(fault);
        }
    }

    private String[] list(String path) {
        String value = pairs.getOrDefault(path, "");
        return value.isEmpty() || value.equals("-") ? new String[0] : value.split(",");
    }

    private boolean yes(String path) {
        return isYes(pairs.getOrDefault(path, ""));
    }

    private static boolean isYes(String value) {
        return value.equals("true") || value.equals("1");
    }

    private double number(String path) {
        String value = pairs.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? 0 : parse(path, value);
    }

    private static double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidInputException(path + " is not a number: " + value);
        }
    }

    private long micros(String path) {
        return Math.round(number(path) * 1000);
    }
}
