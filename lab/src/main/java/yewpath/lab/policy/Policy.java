package yewpath.lab.policy;

/** What a relay tells whoever decides; the words and indices are those of {@link yewpath.DeliveryPolicy}. */
public interface Policy {
    void at(long clock);

    void taken(int id, int offering, int tenant, int key, int destination, long expiry, int shots,
        long doubtSince,
        int doubtZone);

    void withdrawn(int id);

    void settled(int id, boolean over, int shot, int endpoint, int outcome, long wait, long elapsed,
        double left,
        double limit);

    void listBegins(boolean whole, boolean cached);

    void listed(int endpoint, int zone, int kind, int destination, int phase, double rate, long since);

    void listEnds();

    void due();

    void turn();
}
