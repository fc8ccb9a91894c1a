package yewpath.lab.world;

import yewpath.lab.scenario.Scenario;

/** One hand-in of a client's wish; the wish is the same over all its hand-ins. */
final class Envelope {
    final int index;
    final int intent;
    final int offeringIndex;
    final Scenario.Offering offering;
    final int destination;
    final int key;
    final long bornAt;
    final long expiry;
    final Crowd.Wish wish;
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
