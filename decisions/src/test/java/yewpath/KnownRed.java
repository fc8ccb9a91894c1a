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

/**
 * Turns failures of the tests that KNOWN-RED.txt lists into skips and prints them; no other test is affected.
 * An entry is one line whose part before the first {@code |} is {@code Class.method}; blank lines and lines
 * that start with # are ignored.
 */
public final class KnownRed implements IInvokedMethodListener {
    private static final Path KNOWN_RED_FILE = Path.of("..", "KNOWN-RED.txt");

    private final Set<String> knownFailures = readKnownFailures();

    private static Set<String> readKnownFailures() {
        try {
            return Files.readAllLines(KNOWN_RED_FILE).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .map(line -> line.split("\\|", 2)[0].strip()).collect(Collectors.toUnmodifiableSet());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        String name = result.getTestClass().getRealClass().getSimpleName() + "." + result.getName();
        if (!method.isTestMethod() || !knownFailures.contains(name)) {
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
