package yewpath.lab.world;

import yewpath.lab.scenario.Scenario;

/** One hand-in of a client's wish; the wish is the same over all its hand-ins. */
public final class Envelope {
    public final int index;
    final int intent;
    final int offeringIndex;
    public final Scenario.MessageClass offering;
    public final int destination;
    public final int key;
    final long bornAt;
    public final long expiry;
    public final Crowd.Wish wish;
    int shots;
    long doubtSince = -1;

    Envelope(int index, Crowd.Wish wish) {
        this.index = index;
        this.wish = wish;
        intent = wish.intent;
        offeringIndex = wish.offeringIndex;
        offering = wish.offering;
        destination = wish.destination;
        key = wish.key;
        bornAt = wish.bornAt;
        expiry = wish.expiry;
    }
}
