package yewpath.boot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewpath.Settings;

/** The settings by path, from either wire; keys it does not know are skipped, absent ones read as off. */
public final class Boot {
    public final Settings settings = new Settings();
    public final Names zones = new Names();
    public final Names kinds = new Names();
    public final Names offerings = new Names();
    public final Names tenants = new Names();
    public final List<String> reportFields;
    public int leftColumn = -1;
    public int limitColumn = -1;
    private final Map<String, String> pairs;
    private final boolean written;

    /** Reads settings from path=value fields, from the given index on. */
    public static Boot ofFields(String[] fields, int first) {
        Map<String, String> pairs = new HashMap<>();
        for (int i = first; i < fields.length; i++) {
            int equals = fields[i].indexOf('=');
            if (equals <= 0) {
                throw new Malformed("a setting without a value: " + fields[i]);
            }
            pairs.put(fields[i].substring(0, equals), fields[i].substring(equals + 1));
        }
        return new Boot(pairs, false);
    }

    /**
     * {@code written}: a file that somebody wrote, whose faults are refused. A wire may well tell what belongs to no
     * deployment whole, and is taken as it is.
     */
    public Boot(Map<String, String> pairs, boolean written) {
        this.pairs = pairs;
        this.written = written;
        Settings s = settings;
        s.relays = (int) number("balancers");
        s.self = (int) number("ordinal");
        s.slots = (int) number("family_info.max_calls");
        s.holdLimit = (int) number("limits.max_open");
        s.shotLimit = (int) number("limits.try_limit");
        s.mayProbe = yes("limits.probes");
        s.mayNote = yes("limits.peers");
        s.mayCancel = yes("limits.cancel");
        s.listAsked = "on_request".equals(pairs.get("discovery"));
        s.rateIsRough = "rough".equals(pairs.get("weights"));
        s.listTellsRate = s.rateIsRough || "nominal".equals(pairs.get("weights"));
        s.halving = "by_half".equals(pairs.get("family_info.late"));
        s.overShare = number("over_share_worth");
        s.tellsPause = yes("limits.retry_after");
        s.pauseLimit = micros("limits.max_retry_after_ms");
        refuse(s.pauseLimit < 0,
            "limits.max_retry_after_ms is below 0: " + pairs.get("limits.max_retry_after_ms"));
        s.refusalPrice = number("family_info.turned_away_price");
        s.answerSlack = micros("rules.answer_slack_ms");
        s.askEvery = micros("rules.ask_every_ms");
        s.coldFrom = number("rules.cold_from");
        s.coldFor = micros("rules.cold_ms");
        s.fallMultiple = number("rules.fall_multiple");
        s.fallFor = micros("rules.fall_ms");
        s.settleAfterDoubt = micros("rules.settle_after_doubt_ms");
        s.connectTimeout = micros("limits.connect_timeout_ms");
        s.connectionIdle = micros("limits.conn_idle_ms");
        String[] zoneNames = list("zones");
        for (String zone : zoneNames) {
            zones.of(zone);
        }
        String locality = pairs.get("locality");
        s.zone = locality == null ? -1 : zones.find(locality);
        refuse(locality != null && s.zone < 0, "locality: no such name in zones: " + locality);
        double crossing = part("prices.cross_zone", pairs.get("prices.cross_zone"));
        s.crossingPrice = locality == null ? 0 : crossing;
        String[] fees = list("family_info.carriage");
        asMany("family_info.carriage", fees, "zones", zoneNames);
        s.fees = new double[fees.length];
        for (int i = 0; i < fees.length; i++) {
            s.fees[i] = part("family_info.carriage." + i, fees[i]);
        }
        String[] kindNames = list("kinds");
        String[] apart = list("family_info.routes_apart");
        String[] bundle = list("family_info.bundle_max");
        asMany("family_info.routes_apart", apart, "kinds", kindNames);
        asMany("family_info.bundle_max", bundle, "kinds", kindNames);
        s.routesApart = new boolean[kindNames.length];
        s.bundle = new int[kindNames.length];
        for (int i = 0; i < kindNames.length; i++) {
            kinds.of(kindNames[i]);
            s.routesApart[i] = i < apart.length && isYes(apart[i]);
            s.bundle[i] = i < bundle.length ? (int) parse("family_info.bundle_max." + i, bundle[i]) : 1;
        }
        s.offerings = new Settings.Offering[(int) number("request_classes.count")];
        for (int i = 0; i < s.offerings.length; i++) {
            String at = "request_classes." + i + ".";
            offerings.of(pairs.getOrDefault(at + "name", "#" + i));
            s.offerings[i] = new Settings.Offering(number(at + "worth"), number(at + "late_worth"),
                micros(at + "on_time_ms"), micros(at + "give_up_ms"), kind(at + "repeat"),
                "zone".equals(pairs.get(at + "group")), micros(at + "dedup_window_ms"),
                yes(at + "fifo_by_key"));
        }
        s.tenants = new Settings.Tenant[(int) number("tenants.count")];
        for (int i = 0; i < s.tenants.length; i++) {
            String at = "tenants." + i + ".";
            tenants.of(pairs.getOrDefault(at + "name", "#" + i));
            s.tenants[i] = new Settings.Tenant(number(at + "quota_per_s"), number(at + "portion"));
        }
        String[] report = list("load_report.fields");
        reportFields = List.of(report);
        for (int i = 0; i < report.length; i++) {
            if (report[i].equals("x0")) {
                leftColumn = i;
            } else if (report[i].equals("x1")) {
                limitColumn = i;
            }
        }
    }

    /** Of an effect that is not told, or not known, the most careful is taken; who wrote a word is told that it means nothing. */
    private Settings.Kind kind(String path) {
        String word = pairs.getOrDefault(path, "side_effect");
        refuse(!List.of("pure", "token", "side_effect").contains(word),
            path + " is none of pure, token and side_effect: " + word);
        return word.equals("pure") ? Settings.Kind.REPEATABLE
            : word.equals("token") ? Settings.Kind.TAGGED : Settings.Kind.ONCE_ONLY;
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
            throw new Malformed(fault);
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
            throw new Malformed(path + " is not a number: " + value);
        }
    }

    private long micros(String path) {
        return Math.round(number(path) * 1000);
    }
}
