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
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.settings.SettingsException;

/**
 * The configuration that one entry serves under.
 */
final class DeploymentView {

    private static final Logger LOGGER = LogManager.getLogger(DeploymentView.class);

    private final Map<String, AccountSettings> accountsByDigest = new HashMap<>();
    private Deployment deployment = Deployment.EMPTY;
    private long version;

    /**
     * Puts an update's configuration in force, if it is newer.
     *
     * @param update the update
     * @return whether another configuration is in force now
     */
    boolean update(ControlUpdateMessage update) {
        if (update.configVersion() <= version) {
            return false;
        }
        try {
            deployment = DeploymentLoader.parse("version " + update.configVersion(), update.configText());
        } catch (SettingsException e) {
            // Control checks before it accepts, so this build is older than the configuration: don't serve it half.
            LOGGER.error("event=config-unreadable version={}", update.configVersion(), e);
            return false;
        }
        version = update.configVersion();
        accountsByDigest.clear();
        deployment.accounts().values().forEach(a -> accountsByDigest.put(a.keyDigest(), a));
        LOGGER.info("event=config-in-force version={}", version);
        return true;
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
