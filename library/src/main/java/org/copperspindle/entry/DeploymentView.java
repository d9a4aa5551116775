package org.copperspindle.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentReader;
import org.copperspindle.membership.ControlUpdateMessage;

/**
 * The configuration in force at one entry, with its client accounts indexed by key digest.
 */
final class DeploymentView {

    private static final Logger LOGGER = LogManager.getLogger(DeploymentView.class);

    private final Map<String, AccountSettings> accountsByDigest = new HashMap<>();
    private final DeploymentReader reader;
    private final Runnable onInForce;
    private Deployment deployment = Deployment.EMPTY;
    private long version;
    private long newestReceived;

    /**
     * Creates a view without a configuration.
     *
     * @param reader      parses configuration texts
     * @param onInForce   run each time another configuration comes into force
     */
    DeploymentView(DeploymentReader reader, Runnable onInForce) {
        this.reader = reader;
        this.onInForce = onInForce;
    }

    /**
     * Starts to parse the configuration of an update if it is newer than all received before. It comes into force when
     * parsed.
     *
     * @param update the update
     */
    void update(ControlUpdateMessage update) {
        long received = update.configVersion();
        if (received <= newestReceived) {
            return;
        }
        newestReceived = received;
        reader.read(received, update.configText(), read -> read.ifPresent(found -> putInForce(received, found)));
    }

    /**
     * Puts a parsed configuration in force if its version is higher than the current one. Parsing may end out of order;
     * without the check, an older version could replace one that was already reported, and callers would be served
     * under rules that operators were told are gone.
     */
    private void putInForce(long read, Deployment found) {
        if (read <= version) {
            return;
        }
        deployment = found;
        version = read;
        accountsByDigest.clear();
        deployment.accounts().values().forEach(a -> accountsByDigest.put(a.keyDigest(), a));
        LOGGER.info("event=config-in-force version={}", version);
        onInForce.run();
    }

    /**
     * Finds the client account of a bearer key.
     *
     * @param bearer the key
     * @return the account, empty for an unknown key
     */
    Optional<AccountSettings> authenticate(String bearer) {
        byte[] digest = sha256(bearer.getBytes(StandardCharsets.UTF_8));
        AccountSettings account = accountsByDigest.get(HexFormat.of().formatHex(digest));
        return Optional.ofNullable(account)
                .filter(a -> MessageDigest.isEqual(HexFormat.of().parseHex(a.keyDigest()), digest));
    }

    Deployment deployment() {
        return deployment;
    }

    /** Returns the version in force, 0 before the first one. */
    long version() {
        return version;
    }

    static byte[] sha256(byte[] data) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(data);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
