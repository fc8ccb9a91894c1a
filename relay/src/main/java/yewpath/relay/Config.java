package yewpath.relay;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import yewpath.boot.InvalidInputException;
import yewpath.boot.PlatformSettings;
import yewpath.configuration.ConfigurationException;
import yewpath.directory.EndpointList;
import yewpath.json.Json;
import yewpath.loop.Limits;
import yewpath.operator.OperatorFile;
import yewpath.operator.OperatorSettings;

/**
 * The configuration of a relay, from the files and the environment. A variable of the environment takes
 * precedence over the file.
 */
public final class Config {
    /**
     * Thrown if the configuration is missing, unreadable or invalid; the message names the file and the
     * error.
     */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message, null, false, false);
        }
    }

    /** The name of this relay in its log. */
    public final String name;
    public final InetSocketAddress listenAddress;
    public final InetSocketAddress discoveryAddress;
    /** The folder of the ledger. */
    public final Path stateFolder;
    /** The seed of the random decisions of the delivery policy. */
    public final long seed;
    public final PlatformSettings platformSettings;
    public final Limits limits;
    /** The list of endpoints to start with; null if the file contains none. */
    EndpointList configuredEndpoints;
    /** The values of the operator's file; all at their defaults if there is no file. */
    public final OperatorSettings operatorSettings;
    final String operatorFile;
    private final String file;
    private final Map<String, String> environment;

    private Config(String file, byte[] json, String operatorFile, OperatorSettings operatorSettings,
        Map<String, String> environment) {
        this.file = file;
        this.operatorFile = operatorFile;
        this.operatorSettings = operatorSettings;
        this.environment = environment;
        Map<String, String> values = new HashMap<>();
        Map<String, String> settings = new HashMap<>();
        Json.parse(json, parser -> {
            Json.readObject(parser, (name, value) -> {
                if (name.equals("known") && value.currentToken() != JsonToken.VALUE_NULL) {
                    configuredEndpoints = EndpointList.read(value);
                } else if (name.equals("settings")) {
                    Json.readObject(value,
                        (settingName, setting) -> Json.flatten(settingName, setting, settings::put));
                } else {
                    Json.flatten(name, value, values::put);
                }
            });
            return null;
        });
        name = choose(environment, values, "NODE_NAME", "name", "relay");
        listenAddress = EndpointList.parseAddress(choose(environment, values, "NODE_LISTEN", "listen", null));
        discoveryAddress = EndpointList
            .parseAddress(choose(environment, values, "NODE_DISCOVERY", "discovery", null));
        stateFolder = Path.of(choose(environment, values, "NODE_STATE", "state", null));
        String seedText = values.getOrDefault("seed", "0");
        if (!seedText.matches("[0-9a-fA-F]{1,16}")) {
            throw new IllegalArgumentException(
                "seed is not a hexadecimal number of 1 to 16 digits: " + seedText);
        }
        seed = Long.parseUnsignedLong(seedText, 16);
        platformSettings = new PlatformSettings(settings, true);
        if (platformSettings.policySettings.messageClasses.length == 0) {
            throw new IllegalArgumentException("settings: request_classes is missing or empty");
        }
        limits = new Limits(name -> number(values, "limits." + name),
            platformSettings.policySettings.connectTimeoutMicros,
            platformSettings.policySettings.idleConnectionTimeoutMicros, operatorSettings);
    }

    private static double number(Map<String, String> values, String path) {
        String value = values.getOrDefault(path, "0");
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException(path + " is not a number: " + value);
        }
    }

    /**
     * Returns the value of a variable of the environment, else the one at a path of the file, else the
     * default; a default of null makes the setting mandatory.
     */
    private static String choose(Map<String, String> environment, Map<String, String> values, String variable,
        String path, String defaultValue) {
        String value = environment.get(variable);
        value = value == null || value.isEmpty() ? values.getOrDefault(path, defaultValue) : value;
        if (value == null) {
            throw new IllegalArgumentException("neither $" + variable + " nor \"" + path + "\" is set");
        }
        return value;
    }

    /**
     * Reads the same files again. The address of discovery is now taken from the file: the environment is
     * that of the start, so it can't contain a new address.
     *
     * @throws InvalidConfigException if a file is unreadable or invalid
     */
    Config reread() throws InvalidConfigException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("NODE_DISCOVERY");
        return read(file, operatorFile, remaining);
    }

    /**
     * Reads the configuration.
     *
     * @param file the platform's configuration; null to use the file that $NODE_CONFIG names
     * @param operatorFile the operator's file; null for none
     * @throws InvalidConfigException if a file is missing, unreadable or invalid
     */
    public static Config read(String file, String operatorFile, Map<String, String> environment)
        throws InvalidConfigException {
        String path = file != null ? file : environment.get("NODE_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigException("no configuration file: set --config or $NODE_CONFIG");
        }
        try {
            OperatorSettings operatorSettings = OperatorFile.read(operatorFile);
            return new Config(path, Files.readAllBytes(Path.of(path)), operatorFile, operatorSettings,
                environment);
        } catch (ConfigurationException invalid) {
            throw new InvalidConfigException(invalid.getMessage());
        } catch (IOException exception) {
            throw new InvalidConfigException(path + " cannot be read: " + exception.getMessage());
        } catch (IllegalArgumentException | InvalidInputException exception) {
            throw new InvalidConfigException(path + ": " + exception.getMessage());
        }
    }
}
