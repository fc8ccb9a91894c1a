package yewpath.relay;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.BitSet;
import yewpath.DeliveryPolicy;
import yewpath.OutageState;
import yewpath.boot.NameTable;
import yewpath.boot.PlatformSettings;
import yewpath.delivery.Delivery;
import yewpath.directory.EndpointList;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.ledger.KnownOutages;

/**
 * Translates the names of the endpoint list into indices and passes the list on to the delivery policy and
 * to {@link Delivery}.
 */
final class Endpoints implements EndpointList.Listener {
    private static final int PHASE_UP = 0;

    private final PlatformSettings platformSettings;
    private final DeliveryPolicy policy;
    private final Delivery delivery;
    private final KnownOutages knownOutages;
    private final NameTable ids = new NameTable();
    private final NameTable destinations = new NameTable();
    /** The destinations that a list has named. Restored messages may have added others to the table. */
    private final BitSet listedDestinations = new BitSet();
    private String[] zones = new String[32];
    /** The number of messages that one call to an endpoint may carry. */
    private int[] maxBatchSizes = new int[32];
    /**
     * The group that shares one Retry-After: the destination, or a single endpoint if endpoints of its
     * kind have limits of their own.
     */
    private int[] limitGroups = new int[32];
    private final BitSet knownEndpoints = new BitSet();
    /** The known endpoints that the complete list now being read has not named so far. */
    private final BitSet missingFromList = new BitSet();
    private boolean loadingConfigured;

    Endpoints(PlatformSettings platformSettings, DeliveryPolicy policy, Delivery delivery,
        KnownOutages knownOutages) {
        this.knownOutages = knownOutages;
        this.platformSettings = platformSettings;
        this.policy = policy;
        this.delivery = delivery;
    }

    /**
     * Loads the list of the configuration, which may be outdated.
     *
     * @param configuredEndpoints the list, or null if there is none
     * @return the version of the list; 0 if there is none
     */
    long loadConfigured(EndpointList configuredEndpoints) {
        loadingConfigured = true;
        if (configuredEndpoints != null) {
            configuredEndpoints.notifyListener(this);
        }
        loadingConfigured = false;
        return configuredEndpoints == null ? 0 : configuredEndpoints.version;
    }

    /** Whether a list has named this destination. */
    boolean isListedDestination(String name) {
        int index = destinations.find(name);
        return index >= 0 && listedDestinations.get(index);
    }

    /** Returns the index of a destination, a new one if it has none. */
    int destinationIndex(String name) {
        return destinations.getOrAdd(name);
    }

    /** Returns the id of an endpoint in the list, or # and its index if it was released. */
    String name(int endpoint) {
        String name = ids.name(endpoint);
        return name == null ? "#" + endpoint : name;
    }

    String zone(int endpoint) {
        return zones[endpoint];
    }

    int maxBatchSize(int endpoint) {
        return maxBatchSizes[endpoint];
    }

    /**
     * An endpoint has answered with Retry-After: cancels the calls to the endpoints with the same limit
     * whose requests are not sent yet, because they would arrive during that time.
     */
    void retryAfterReceived(int endpoint) {
        knownEndpoints.stream().filter(index -> limitGroups[index] == limitGroups[endpoint])
            .forEach(delivery::cancelUnsentCalls);
    }

    @Override
    public void listStarted(boolean complete) {
        missingFromList.clear();
        if (complete) {
            missingFromList.or(knownEndpoints);
        }
        policy.endpointListStarted(complete, loadingConfigured);
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, String zone, String kind,
        String destination,
        int phase,
        double callsPerSecond, long sinceMicros) {
        int index = ids.getOrAdd(id);
        if (index >= zones.length) {
            zones = Arrays.copyOf(zones, index * 2);
            maxBatchSizes = Arrays.copyOf(maxBatchSizes, index * 2);
            limitGroups = Arrays.copyOf(limitGroups, index * 2);
        }
        int kindIndex = platformSettings.kinds.getOrAdd(kind);
        boolean isNew = !knownEndpoints.get(index);
        knownEndpoints.set(index);
        missingFromList.clear(index);
        zones[index] = zone;
        maxBatchSizes[index] = kindIndex < platformSettings.policySettings.maxBatchSize.length
            ? platformSettings.policySettings.maxBatchSize[kindIndex] : 1;
        boolean hasOwnLimit = kindIndex < platformSettings.policySettings.limitPerEndpoint.length
            && platformSettings.policySettings.limitPerEndpoint[kindIndex];
        int destinationIndex = destinations.getOrAdd(destination);
        listedDestinations.set(destinationIndex);
        limitGroups[index] = hasOwnLimit ? -1 - index : destinationIndex;
        delivery.setAddress(index, address);
        if (phase != PHASE_UP) {
            delivery.stopSending(index);
        }
        if (Log.isEnabled(Event.ENDPOINT_LISTED)) {
            Log.log(Event.ENDPOINT_LISTED, id, address, destination,
                phase == PHASE_UP ? "up" : phase == 1 ? "draining" : "removed");
        }
        policy.endpointListed(index, platformSettings.zones.getOrAdd(zone), kindIndex, destinationIndex,
            phase, callsPerSecond, sinceMicros);
        if (isNew && !loadingConfigured) {
            restoreOutage(index);
        }
    }

    /**
     * Passes on what earlier processes knew of outages of the configured endpoints, once the messages of these
     * processes are restored.
     */
    void restoreOutages() {
        knownEndpoints.stream().forEach(this::restoreOutage);
    }

    private void restoreOutage(int endpoint) {
        OutageState outage = knownOutages.find(ids.name(endpoint));
        if (outage != null) {
            policy.restoreOutage(endpoint, outage);
        }
    }

    /** Removes an endpoint, whose index may then be given to another one. */
    void release(int endpoint) {
        knownEndpoints.clear(endpoint);
        ids.release(endpoint);
        delivery.stopSending(endpoint);
    }

    @Override
    public void listEnded() {
        missingFromList.stream().forEach(delivery::stopSending);
        policy.endpointListEnded();
    }
}
