package yewpath.lab.world;

/** Where an endpoint's answer to a call goes. */
public interface Answerer {
    /** {@code outcome} as {@link yewpath.PolicyActions} has them; {@code pause} in microseconds, 0 for none told. */
    void answerLeaves(Shot shot, int outcome, long pause);

    /** Who it is that a told wait binds. */
    int index();
}
