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
 * The configuration that one entry serves under.
 */
final class DeploymentView {

    private static final Logger LOGGER = LogManager.getLogger(DeploymentView.class);

    private final Map<String, AccountSettings> accountsByDigest = new HashMap<>();
    private final DeploymentReader reader;
    private final Runnable whenInForce;
    private Deployment deployment = Deployment.EMPTY;
    private long version;
    private long newest;

    /**
     * Creates a view without a configuration.
     *
     * @param reader      reads texts
     * @param whenInForce run each time that another configuration is in force
     */
    DeploymentView(DeploymentReader reader, Runnable whenInForce) {
        this.reader = reader;
        this.whenInForce = whenInForce;
    }

    /**
     * Has an update's configuration read, if it is newer than all before. It is in force later, once it is read.
     *
     * @param update the update
     */
    void update(ControlUpdateMessage update) {
        long updated = update.configVersion();
        if (updated <= newest) {
            return;
        }
        newest = updated;
        reader.read(updated, update.configText(), read -> read.ifPresent(found -> putInForce(updated, found)));
    }

    /**
     * Puts a configuration in force. Safeguard: a reading that ends late would bring an older version back after a newer
     * one was reported, and callers would be served under rules that the operator was told are gone. Only a higher
     * version is taken, whatever the order in which readings end.
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
        whenInForce.run();
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

    /** Returns the version in force, 0 for none. */
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
