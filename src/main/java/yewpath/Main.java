package yewpath;

import yewpath.wirehost.WireHost;

public final class Main {
    private Main() { }

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("wirehost")) {
            System.exit(WireHost.serve(System.in, System.out, System.err));
        }
        System.err.println("usage: java -jar yewpath.jar wirehost");
        System.exit(2);
    }
}
