package yewpath.relay;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import yewpath.boot.PlatformSettings;
import yewpath.boot.InvalidInputException;
import yewpath.configuration.ConfigurationException;
import yewpath.directory.EndpointList;
import yewpath.json.Json;
import yewpath.loop.Limits;
import yewpath.operator.OperatorFile;
import yewpath.operator.OperatorSettings;

/** What a relay is told at its start, by file and environment; the latter wins. */
public final class Config {
    /** Something in it that the relay cannot start with. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message, null, false, false);
        }
    }

    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    public final Path state;
    public final long seed;
    public final PlatformSettings platformSettings;
    public final Limits limits;
    /** The list of endpoints as last held; null where none is told. */
    EndpointList known;
    /** What the operator's file says, or all at its default. */
    public final OperatorSettings operatorSettings;
    final String operatorFile;
    private final String file;
    private final Map<String, String> environment;

    private Config(String file, byte[] json, String operatorFile, OperatorSettings operator,
        Map<String, String> environment) {
        this.file = file;
        this.operatorFile = operatorFile;
        this.operatorSettings = operator;
        this.environment = environment;
        Map<String, String> flat = new HashMap<>();
        Map<String, String> settings = new HashMap<>();
        Json.parse(json, at -> {
            Json.readObject(at, (name, value) -> {
                if (name.equals("known") && value.currentToken() != JsonToken.VALUE_NULL) {
                    known = EndpointList.read(value);
                } else if (name.equals("settings")) {
                    Json.readObject(value, (inner, setting) -> Json.flatten(inner, setting, settings::put));
                } else {
                    Json.flatten(name, value, flat::put);
                }
            });
            return null;
        });
        name = pick(environment, flat, "NODE_NAME", "name", "relay");
        listen = EndpointList.parseAddress(pick(environment, flat, "NODE_LISTEN", "listen", null));
        discovery = EndpointList.parseAddress(pick(environment, flat, "NODE_DISCOVERY", "discovery", null));
        state = Path.of(pick(environment, flat, "NODE_STATE", "state", null));
        String told = flat.getOrDefault("seed", "0");
        if (!told.matches("[0-9a-fA-F]{1,16}")) {
            throw new IllegalArgumentException("seed is not hexadecimal: " + told);
        }
        seed = Long.parseUnsignedLong(told, 16);
        platformSettings = new PlatformSettings(settings, true);
        if (platformSettings.policySettings.messageClasses.length == 0) {
            throw new IllegalArgumentException("settings name no request_classes");
        }
        limits = new Limits(name -> figure(flat, "limits." + name),
            platformSettings.policySettings.connectTimeoutMicros,
            platformSettings.policySettings.idleConnectionTimeoutMicros, operator);
    }

    private static double figure(Map<String, String> flat, String path) {
        String value = flat.getOrDefault(path, "0");
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(path + " is not a number: " + value);
        }
    }

    private static String pick(Map<String, String> environment, Map<String, String> flat, String variable,
        String path, String otherwise) {
        String value = environment.get(variable);
        value = value == null || value.isEmpty() ? flat.getOrDefault(path, otherwise) : value;
        if (value == null) {
            throw new IllegalArgumentException("neither $" + variable + " nor \"" + path + "\" is told");
        }
        return value;
    }

    /**
     * The same file as it stands now. What it says of discovery wins this time: the environment is that of the
     * start, and can't have moved with it.
     */
    Config again() throws InvalidConfigException {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("NODE_DISCOVERY");
        return read(file, operatorFile, rest);
    }

    /** {@code file} may be null, which leaves it to $NODE_CONFIG; {@code operatorFile} may be, too. */
    public static Config read(String file, String operatorFile, Map<String, String> environment)
        throws InvalidConfigException {
        String path = file != null ? file : environment.get("NODE_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigException("no configuration: name a file by --config or $NODE_CONFIG");
        }
        try {
            OperatorSettings operator = OperatorFile.read(operatorFile);
            return new Config(path, Files.readAllBytes(Path.of(path)), operatorFile, operator, environment);
        } catch (ConfigurationException faults) {
            throw new InvalidConfigException(faults.getMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(path + " cannot be read: " + e.getMessage());
        } catch (IllegalArgumentException | InvalidInputException e) {
            throw new InvalidConfigException(path + ": " + e.getMessage());
        }
    }
}
