package yewpath.boot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewpath.PolicySettings;
import yewpath.PolicySettings.DeliverySemantics;
import yewpath.PolicySettings.MessageClass;
import yewpath.PolicySettings.Tenant;

/**
 * The settings of the platform, by the paths that its configuration and the simulator protocol share.
 * Unknown paths are ignored; missing numbers are 0 and missing flags are false.
 */
public final class PlatformSettings {
    public final PolicySettings policySettings = new PolicySettings();
    /** The names in the order of the settings; the policy settings refer to them by index. */
    public final NameTable zones = new NameTable();
    public final NameTable kinds = new NameTable();
    public final NameTable messageClasses = new NameTable();
    public final NameTable tenants = new NameTable();
    /** The fields of load reports, in their order; empty if endpoints send none. */
    public final List<String> reportFields;
    /** The position of the unused share of the limit in a load report; -1 if there is none. */
    public int remainingShareColumn = -1;
    /** The position of the limit in a load report; -1 if there is none. */
    public int reportedLimitColumn = -1;
    private final Map<String, String> values;
    private final boolean strict;

    /**
     * Reads the settings of the simulator protocol from fields of the form path=value. Inconsistent values
     * are accepted.
     *
     * @param firstIndex the index of the first such field
     * @throws InvalidInputException if a field has no value, or a number is malformed
     */
    public static PlatformSettings ofFields(String[] fields, int firstIndex) {
        Map<String, String> values = new HashMap<>();
        for (int i = firstIndex; i < fields.length; i++) {
            int equals = fields[i].indexOf('=');
            if (equals <= 0) {
                throw new InvalidInputException("a setting without a value: " + fields[i]);
            }
            values.put(fields[i].substring(0, equals), fields[i].substring(equals + 1));
        }
        return new PlatformSettings(values, false);
    }

    /**
     * Reads the settings.
     *
     * @param values the value of each path
     * @param strict true for a configuration file, in which inconsistent values are errors. The simulator
     *     may send settings that do not belong to one consistent deployment; they are accepted.
     * @throws InvalidInputException if a number is malformed, or strict and a value is inconsistent
     */
    public PlatformSettings(Map<String, String> values, boolean strict) {
        this.values = values;
        this.strict = strict;
        PolicySettings target = policySettings;
        target.relayCount = (int) number("balancers");
        target.relayIndex = (int) number("ordinal");
        target.maxConcurrentCalls = (int) number("family_info.max_calls");
        target.maxOpenMessages = (int) number("limits.max_open");
        target.maxAttempts = (int) number("limits.try_limit");
        target.probesAllowed = flag("limits.probes");
        target.peerMessagesAllowed = flag("limits.peers");
        target.cancelAllowed = flag("limits.cancel");
        target.listOnRequest = "on_request".equals(values.get("discovery"));
        target.listedRateIsApproximate = "rough".equals(values.get("weights"));
        target.listReportsRate = target.listedRateIsApproximate || "nominal".equals(values.get("weights"));
        target.lateRevenueHalves = "by_half".equals(values.get("family_info.late"));
        target.overShareWorth = number("over_share_worth");
        target.reportsRetryAfter = flag("limits.retry_after");
        target.maxRetryAfterMicros = micros("limits.max_retry_after_ms");
        rejectIf(target.maxRetryAfterMicros < 0,
            "limits.max_retry_after_ms is below 0: " + values.get("limits.max_retry_after_ms"));
        target.refusalPrice = number("family_info.turned_away_price");
        target.answerSlackMicros = micros("rules.answer_slack_ms");
        target.listRequestIntervalMicros = micros("rules.ask_every_ms");
        target.warmUpInitialShare = number("rules.cold_from");
        target.warmUpMicros = micros("rules.cold_ms");
        target.collapseMultiple = number("rules.fall_multiple");
        target.collapseWindowMicros = micros("rules.fall_ms");
        target.settleAfterUncertainMicros = micros("rules.settle_after_doubt_ms");
        target.connectTimeoutMicros = micros("limits.connect_timeout_ms");
        target.idleConnectionTimeoutMicros = micros("limits.conn_idle_ms");
        String[] zoneNames = stringList("zones");
        for (String zone : zoneNames) {
            zones.getOrAdd(zone);
        }
        String locality = values.get("locality");
        target.zone = locality == null ? -1 : zones.find(locality);
        rejectIf(locality != null && target.zone < 0, "locality: no such name in zones: " + locality);
        double crossZonePrice = fraction("prices.cross_zone", values.get("prices.cross_zone"));
        target.crossZonePrice = locality == null ? 0 : crossZonePrice;
        String[] zoneFees = stringList("family_info.carriage");
        requireSameLength("family_info.carriage", zoneFees, "zones", zoneNames);
        target.zoneFees = new double[zoneFees.length];
        for (int i = 0; i < zoneFees.length; i++) {
            target.zoneFees[i] = fraction("family_info.carriage." + i, zoneFees[i]);
        }
        String[] kindNames = stringList("kinds");
        String[] limitPerEndpoint = stringList("family_info.routes_apart");
        String[] maxBatchSizes = stringList("family_info.bundle_max");
        requireSameLength("family_info.routes_apart", limitPerEndpoint, "kinds", kindNames);
        requireSameLength("family_info.bundle_max", maxBatchSizes, "kinds", kindNames);
        target.limitPerEndpoint = new boolean[kindNames.length];
        target.maxBatchSize = new int[kindNames.length];
        for (int i = 0; i < kindNames.length; i++) {
            kinds.getOrAdd(kindNames[i]);
            target.limitPerEndpoint[i] = i < limitPerEndpoint.length && isTrue(limitPerEndpoint[i]);
            target.maxBatchSize[i] = i < maxBatchSizes.length
                ? (int) parse("family_info.bundle_max." + i, maxBatchSizes[i]) : 1;
        }
        target.messageClasses = new MessageClass[(int) number("request_classes.count")];
        for (int i = 0; i < target.messageClasses.length; i++) {
            String path = "request_classes." + i + ".";
            messageClasses.getOrAdd(values.getOrDefault(path + "name", "#" + i));
            target.messageClasses[i] = new MessageClass(number(path + "worth"),
                number(path + "late_worth"), micros(path + "on_time_ms"), micros(path + "give_up_ms"),
                deliverySemantics(path + "repeat"), "zone".equals(values.get(path + "group")),
                micros(path + "dedup_window_ms"), flag(path + "fifo_by_key"));
        }
        target.tenants = new Tenant[(int) number("tenants.count")];
        for (int i = 0; i < target.tenants.length; i++) {
            String path = "tenants." + i + ".";
            tenants.getOrAdd(values.getOrDefault(path + "name", "#" + i));
            target.tenants[i] = new Tenant(number(path + "quota_per_s"), number(path + "portion"));
        }
        String[] loadReportFields = stringList("load_report.fields");
        reportFields = List.of(loadReportFields);
        for (int i = 0; i < loadReportFields.length; i++) {
            if (loadReportFields[i].equals("x0")) {
                remainingShareColumn = i;
            } else if (loadReportFields[i].equals("x1")) {
                reportedLimitColumn = i;
            }
        }
    }

    /**
     * Returns the delivery semantics for the effect of a message class. A missing or unknown effect is
     * treated as side_effect, the most restrictive one; in a configuration file an unknown one is an
     * error.
     */
    private DeliverySemantics deliverySemantics(String path) {
        String effect = values.getOrDefault(path, "side_effect");
        rejectIf(!List.of("pure", "token", "side_effect").contains(effect),
            path + " is none of pure, token and side_effect: " + effect);
        return effect.equals("pure") ? DeliverySemantics.IDEMPOTENT
            : effect.equals("token") ? DeliverySemantics.DEDUPLICATED
                : DeliverySemantics.AT_MOST_ONCE;
    }

    /** Returns a fraction of a message's revenue; 0 if it is missing. */
    private double fraction(String path, String text) {
        if (text == null || text.isEmpty() || text.equals("-")) {
            return 0;
        }
        double value = parse(path, text);
        rejectIf(!(value >= 0 && value <= 1), path + " is not from 0 to 1: " + text);
        return value;
    }

    /** Requires that a list has one value for each name of another list, or is empty. */
    private void requireSameLength(String path, String[] elements, String namesPath, String[] names) {
        rejectIf(elements.length > 0 && elements.length != names.length,
            path + " has " + elements.length + " values where " + namesPath + " has " + names.length
                + " names");
    }

    /** Throws an error if the settings are read strictly and a value is invalid. */
    private void rejectIf(boolean invalid, String message) {
        if (strict && invalid) {
            throw new InvalidInputException(message);
        }
    }

    /** Returns the elements of a list separated by commas; an empty list if it is missing. */
    private String[] stringList(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() || value.equals("-") ? new String[0] : value.split(",");
    }

    private boolean flag(String path) {
        return isTrue(values.getOrDefault(path, ""));
    }

    private static boolean isTrue(String value) {
        return value.equals("true") || value.equals("1");
    }

    private double number(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? 0 : parse(path, value);
    }

    private static double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException exception) {
            throw new InvalidInputException(path + " is not a number: " + value);
        }
    }

    /** Returns the value of a path in milliseconds as microseconds. */
    private long micros(String path) {
        return Math.round(number(path) * 1000);
    }
}
