package yewpath.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import yewpath.OutageState;
import yewpath.OutageState.Phase;

/**
 * What this relay knows of the outages of endpoints, by the endpoints' ids. It outlives the process and the listing
 * of an endpoint: an endpoint that failed calls of the last process, or before it was removed from the list, may
 * return at any time.
 */
public final class KnownOutages {
    /** In the order in which the states were recorded. */
    private final Map<String, OutageState> states = new LinkedHashMap<>();

    /** Returns what is known of an endpoint; null if there is nothing. */
    public OutageState find(String endpoint) {
        return states.get(endpoint);
    }

    void put(String endpoint, OutageState state) {
        states.remove(endpoint);
        removeExpired(state.sinceMicros());
        if (state.phase() != Phase.NONE) {
            states.put(endpoint, state);
        }
    }

    private void removeExpired(long nowMicros) {
        Iterator<OutageState> oldestFirst = states.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().isExpired(nowMicros)) {
            oldestFirst.remove();
        }
    }

    /** Converts the times that another process recorded, by adding the difference of the clocks. */
    void shiftTimes(long offsetMicros) {
        states.replaceAll((endpoint, state) -> new OutageState(state.phase(), state.symptom(),
            state.sinceMicros() + offsetMicros));
    }

    /**
     * Returns the records of the states, those that were recorded last if not all fit.
     *
     * @param maxBytes the limit on the size of all records together
     */
    Collection<byte[]> records(long maxBytes) {
        return LatestRecords.within(maxBytes, new ArrayList<>(states.keySet()),
            endpoint -> RecordFormat.outage(endpoint, states.get(endpoint)));
    }
}
