package yewpath.relay;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.BitSet;
import yewpath.DeliveryPolicy;
import yewpath.boot.PlatformSettings;
import yewpath.boot.NameTable;
import yewpath.delivery.Delivery;
import yewpath.directory.EndpointList;
import yewpath.events.Event;
import yewpath.events.Log;

/** Turns the list's names into indices and hands it on, to Logic and to where calls are made. */
final class Endpoints implements EndpointList.Listener {
    private static final int UP = 0;

    private final PlatformSettings platformSettings;
    private final DeliveryPolicy logic;
    private final Delivery delivery;
    private final NameTable ids = new NameTable();
    private final NameTable destinations = new NameTable();
    /** Those that a list has named; a restored envelope may bring others. */
    private final BitSet served = new BitSet();
    private String[] zones = new String[32];
    private int[] bundles = new int[32];
    /** What a wait binds: a destination, or one endpoint where routes are apart. */
    private int[] routes = new int[32];
    private final BitSet known = new BitSet();
    /** Those that the whole list now being read has not named so far. */
    private final BitSet unnamed = new BitSet();
    private boolean starting;

    Endpoints(PlatformSettings platformSettings, DeliveryPolicy logic, Delivery delivery) {
        this.platformSettings = platformSettings;
        this.logic = logic;
        this.delivery = delivery;
    }

    /** Takes the list that the configuration brings, which may be old, and returns its version. */
    long start(EndpointList known) {
        starting = true;
        if (known != null) {
            known.notifyListener(this);
        }
        starting = false;
        return known == null ? 0 : known.version;
    }

    boolean knowsDestination(String name) {
        int at = destinations.find(name);
        return at >= 0 && served.get(at);
    }

    int destination(String name) {
        return destinations.getOrAdd(name);
    }

    /** As the list has it; of one that no list names any more, its index. */
    String name(int endpoint) {
        String name = ids.name(endpoint);
        return name == null ? "#" + endpoint : name;
    }

    String zone(int endpoint) {
        return zones[endpoint];
    }

    int bundle(int endpoint) {
        return bundles[endpoint];
    }

    /** A wait was told: what has not left yet would arrive in the middle of it. */
    void waitTold(int endpoint) {
        known.stream().filter(at -> routes[at] == routes[endpoint]).forEach(delivery::cancelUnsentCalls);
    }

    @Override
    public void listStarted(boolean whole) {
        unnamed.clear();
        if (whole) {
            unnamed.or(known);
        }
        logic.endpointListStarted(whole, starting);
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, String zone, String kind,
        String destination,
        int phase,
        double rate, long since) {
        int at = ids.getOrAdd(id);
        if (at >= zones.length) {
            zones = Arrays.copyOf(zones, at * 2);
            bundles = Arrays.copyOf(bundles, at * 2);
            routes = Arrays.copyOf(routes, at * 2);
        }
        int kindAt = platformSettings.kinds.getOrAdd(kind);
        known.set(at);
        unnamed.clear(at);
        zones[at] = zone;
        bundles[at] = kindAt < platformSettings.policySettings.maxBatchSize.length
            ? platformSettings.policySettings.maxBatchSize[kindAt] : 1;
        boolean apart = kindAt < platformSettings.policySettings.limitPerEndpoint.length
            && platformSettings.policySettings.limitPerEndpoint[kindAt];
        int to = destinations.getOrAdd(destination);
        served.set(to);
        routes[at] = apart ? -1 - at : to;
        delivery.setAddress(at, address);
        if (phase != UP) {
            delivery.stopSending(at);
        }
        if (Log.isEnabled(Event.ENDPOINT_LISTED)) {
            Log.log(Event.ENDPOINT_LISTED, id, address, destination,
                phase == UP ? "up" : phase == 1 ? "draining" : "removed");
        }
        logic.endpointListed(at, platformSettings.zones.getOrAdd(zone), kindAt, to, phase, rate, since);
    }

    void forget(int endpoint) {
        known.clear(endpoint);
        ids.release(endpoint);
        delivery.stopSending(endpoint);
    }

    @Override
    public void listEnded() {
        unnamed.stream().forEach(delivery::stopSending);
        logic.endpointListEnded();
    }
}
