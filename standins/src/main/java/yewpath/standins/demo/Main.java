package yewpath.standins.demo;

/** Comes with the stand-ins. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        System.exit(2);
    }
}
