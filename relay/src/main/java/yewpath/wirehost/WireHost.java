package yewpath.wirehost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewpath.DeliveryPolicy;
import yewpath.boot.PlatformSettings;
import yewpath.boot.InvalidInputException;

/** The simulator's text wire: plays rounds of events into each instance's Logic, writes what it asks. */
public final class WireHost {
    private static final int PAGES = 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final TreeMap<Integer, Instance> touched = new TreeMap<>();
    private final String[][][] pages = new String[PAGES][][];
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;
    private int who;
    private boolean named;

    private WireHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Returns the process's exit code: 0 at the end of input, 1 where a line could not be read. */
    public static int serve(InputStream in, OutputStream out, PrintStream err) throws IOException {
        WireHost host = new WireHost(in, out);
        try {
            host.run();
            return 0;
        } catch (InvalidInputException e) {
            err.println("yewpath wirehost: line " + host.lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String line() throws IOException {
        String line = in.readLine();
        lineNumber++;
        return line;
    }

    private void run() throws IOException {
        for (String line = line(); line != null; line = line()) {
            if (line.isEmpty()) {
                continue;
            }
            String[] head = split(line);
            if (!head[0].equals("TICK")) {
                throw new InvalidInputException("expected TICK, found " + head[0]);
            }
            need(head, 3);
            now = micros(head[1]);
            long round = whole(head[2]);
            named = false;
            round(round);
        }
    }

    private void round(long round) throws IOException {
        reply.setLength(0);
        touched.clear();
        String fatal = null;
        while (true) {
            String line = line();
            if (line == null) {
                throw new InvalidInputException("input ended inside a round");
            }
            if (line.equals("EOB")) {
                break;
            }
            String[] fields = split(line);
            try {
                event(fields);
            } catch (InvalidInputException e) {
                throw e;
            } catch (RuntimeException e) {
                fatal = fatal == null ? told(e) : fatal;
            }
        }
        for (Map.Entry<Integer, Instance> entry : touched.entrySet()) {
            try {
                entry.getValue().logic.completeRound(true);
            } catch (RuntimeException e) {
                fatal = fatal == null ? told(e) : fatal;
            }
            entry.getValue().drain(entry.getKey(), reply);
        }
        if (fatal != null) {
            reply.append("FATAL\t").append(fatal).append('\n');
        }
        reply.append("END\t").append(round).append('\n');
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String told(RuntimeException e) {
        StackTraceElement[] at = e.getStackTrace();
        return (e + (at.length > 0 ? " at " + at[0] : "")).replaceAll("[\\t\\r\\n]+", " ");
    }

    private void event(String[] f) throws IOException {
        switch (f[0]) {
            case "SWITCH_TO" -> {
                need(f, 2);
                who = integer(f[1]);
                named = true;
            }
            case "PAGE" -> page(f);
            case "UP" -> up(f);
            case "CRASH_NOW" -> {
                instance();
                instances.remove(who);
                touched.remove(who);
            }
            case "PEERS_KNOWN" -> list(f);
            case "INGRESS" -> ingress(f);
            case "FLOWING" -> {
                need(f, 5);
                instance();
            }
            case "SETTLED" -> settled(f);
            case "HANGUP" -> hangup(f);
            case "DUE" -> {
                need(f, 2);
                instance().logic.alarmFired();
            }
            case "PONG" -> pong(f);
            case "DATAGRAM" -> datagram(f);
            default -> throw new InvalidInputException("unknown message " + f[0]);
        }
    }

    private Instance instance() {
        Instance instance = named ? instances.get(who) : null;
        if (instance == null) {
            throw new InvalidInputException(
                named ? "instance " + who + " is not up" : "no instance named yet");
        }
        if (touched.put(who, instance) == null) {
            instance.at(now);
        }
        return instance;
    }

    private void up(String[] f) {
        if (f.length < 2 || !named) {
            throw new InvalidInputException("UP needs an instance and a seed");
        }
        long seed;
        try {
            seed = f[1].startsWith("-") ? Long.parseLong(f[1]) : Long.parseUnsignedLong(f[1]);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("not a whole number: " + f[1]);
        }
        Instance instance = new Instance(PlatformSettings.ofFields(f, 2), seed, now);
        instances.put(who, instance);
        touched.put(who, instance);
    }

    private void page(String[] f) throws IOException {
        need(f, 3);
        int number = integer(f[1]);
        int count = integer(f[2]);
        if (number < 0 || number >= PAGES || count < 0) {
            throw new InvalidInputException("no such page: " + number);
        }
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String line = line();
            if (line == null) {
                throw new InvalidInputException("input ended inside a page");
            }
            String[] entry = split(line);
            if (!entry[0].equals("ENDPOINT")) {
                throw new InvalidInputException("expected ENDPOINT, found " + entry[0]);
            }
            need(entry, 8);
            decimal(entry[6]);
            micros(entry[7]);
            if (entry[5].length() != 1 || "ULD".indexOf(entry[5].charAt(0)) < 0) {
                throw new InvalidInputException("unknown phase " + entry[5]);
            }
            entries.add(entry);
        }
        pages[number] = entries.toArray(new String[0][]);
    }

    private void list(String[] f) {
        need(f, 4);
        Instance instance = instance();
        DeliveryPolicy logic = instance.logic;
        if (f[1].equals("failed")) {
            logic.endpointListFailed();
            return;
        }
        boolean whole = f[1].equals("full") || f[1].equals("cached");
        if (!whole && !f[1].equals("delta")) {
            throw new InvalidInputException("unknown kind of list " + f[1]);
        }
        int number = integer(f[3]);
        if (number < 0 || number >= PAGES || pages[number] == null) {
            throw new InvalidInputException("no page " + f[3]);
        }
        logic.endpointListStarted(whole, f[1].equals("cached"));
        for (String[] e : pages[number]) {
            logic.endpointListed(instance.endpoints.getOrAdd(e[1]), instance.zone(e[2]), instance.kind(e[3]),
                instance.destinations.getOrAdd(e[4]), "ULD".indexOf(e[5].charAt(0)), decimal(e[6]),
                micros(e[7]));
        }
        logic.endpointListEnded();
    }

    private void ingress(String[] f) {
        need(f, 9);
        Instance instance = instance();
        int offering = instance.messageClasses.find(f[2]);
        if (offering < 0) {
            throw new InvalidInputException("unknown offering " + f[2]);
        }
        long expiry = micros(f[5]);
        if (!f[8].equals("-")) {
            integer(f[8]);
        }
        int destination = instance.destinations.getOrAdd(f[7]);
        int envelope = instance.take(f[1], f[4].equals("-") ? null : f[4]);
        instance.logic.messageAccepted(envelope, offering, instance.tenants.find(f[3]),
            instance.keyOf(envelope),
            destination, expiry, 0, -1, 0);
    }

    private void settled(String[] f) {
        need(f, 9);
        Instance instance = instance();
        int envelope = instance.envelopes.find(f[1]);
        int endpoint = instance.endpoints.find(f[4]);
        if (envelope < 0 || endpoint < 0) {
            throw new InvalidInputException("an outcome for what was never sent: " + f[1] + " " + f[4]);
        }
        boolean over = f[2].equals("1");
        int outcome = integer(f[7]);
        if (outcome < 0 || outcome > 7) {
            throw new InvalidInputException("unknown outcome " + f[7]);
        }
        double detail = decimal(f[5]);
        String[] report = report(f[8]);
        instance.logic.attemptEnded(envelope, over, integer(f[3]), endpoint, outcome,
            outcome == 2 ? Math.round(detail * 1000) : 0, micros(f[6]),
            column(report, instance.remainingShareColumn), column(report, instance.reportedLimitColumn));
        if (over && !instance.isOver(envelope)) {
            instance.ended(envelope);
        }
        instance.shotBack(envelope);
    }

    private void hangup(String[] f) {
        need(f, 2);
        Instance instance = instance();
        int envelope = instance.envelopes.find(f[1]);
        if (envelope >= 0 && !instance.isOver(envelope)) {
            instance.logic.messageWithdrawn(envelope);
            instance.ended(envelope);
        }
    }

    private void pong(String[] f) {
        need(f, 5);
        Instance instance = instance();
        if (instance.endpoints.find(f[1]) < 0) {
            throw new InvalidInputException("a probe's result for an unknown endpoint " + f[1]);
        }
    }

    private void datagram(String[] f) {
        need(f, 3);
        integer(f[1]);
        instance();
    }

    private static String[] report(String field) {
        return field.equals("-") || field.isEmpty() ? new String[0] : field.split(",");
    }

    private static double column(String[] report, int column) {
        return column < 0 || column >= report.length ? Double.NaN : decimal(report[column]);
    }

    private static void need(String[] fields, int count) {
        if (fields.length != count) {
            throw new InvalidInputException(
                fields[0] + " has " + (fields.length - 1) + " fields, not " + (count - 1));
        }
    }

    private static String[] split(String line) {
        int count = 1;
        for (int i = line.indexOf('\t'); i >= 0; i = line.indexOf('\t', i + 1)) {
            count++;
        }
        String[] fields = new String[count];
        int from = 0;
        for (int i = 0; i < count - 1; i++) {
            int tab = line.indexOf('\t', from);
            fields[i] = line.substring(from, tab);
            from = tab + 1;
        }
        fields[count - 1] = line.substring(from);
        return fields;
    }

    private static double decimal(String field) {
        if (field.equals("-")) {
            return 0;
        }
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("not a number: " + field);
        }
    }

    private static long micros(String field) {
        return Math.round(decimal(field) * 1000);
    }

    private static long whole(String field) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("not a whole number: " + field);
        }
    }

    private static int integer(String field) {
        long value = whole(field);
        if (value != (int) value) {
            throw new InvalidInputException("out of range: " + field);
        }
        return (int) value;
    }
}
