package yewpath;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/** Passes over the failures of exactly those tests that KNOWN-RED.txt lists, and prints each of them. */
public final class KnownRed implements IInvokedMethodListener {
    private static final Path FILE = Path.of("..", "KNOWN-RED.txt");

    private final Set<String> listed = read();

    private static Set<String> read() {
        try {
            return Files.readAllLines(FILE).stream().filter(line -> !line.isBlank() && !line.startsWith("#"))
                .map(line -> line.split("\\|", 2)[0].strip()).collect(Collectors.toUnmodifiableSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        String name = result.getTestClass().getRealClass().getSimpleName() + "." + result.getName();
        if (!method.isTestMethod() || !listed.contains(name)) {
            return;
        }
        if (result.getStatus() == ITestResult.FAILURE) {
            System.out.println("KNOWN RED, fails as listed: " + name + ": " + result.getThrowable());
            result.setStatus(ITestResult.SKIP);
        } else {
            System.out.println("KNOWN RED, but passed this time: " + name);
        }
    }
}
