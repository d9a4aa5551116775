package org.copperspindle.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import org.copperspindle.fleet.PlacementLoader;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.settings.SettingsSection;

/**
 * Parses deployment files and validates every value and reference in them, so that an invalid configuration is never
 * proposed.
 */
public final class DeploymentLoader {

    private static final List<String> SECTION_KINDS =
            List.of("deployment", "pool", "pipeline", "stage", "service", "account", "placement", "weight-store");
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(6);
    private static final int MAX_CONCURRENCY = 100_000;
    private static final int MAX_STAGES = 16;
    private static final int MAX_UPSTREAMS = 100_000;

    private final SettingsFile file;
    private final Map<String, PoolSettings> pools = new LinkedHashMap<>();
    private final Map<String, PipelineSettings> pipelines = new LinkedHashMap<>();
    private final Map<String, AccountSettings> accounts = new LinkedHashMap<>();
    private final Set<String> keyDigests = new HashSet<>();
    private List<String> failureDomains = List.of();

    private DeploymentLoader(SettingsFile file) {
        this.file = file;
    }

    /**
     * Loads a deployment file.
     *
     * @param path the file
     * @return the checked deployment
     * @throws SettingsException listing every problem found
     */
    public static Deployment load(Path path) throws SettingsException {
        return new DeploymentLoader(SettingsFile.load(path)).read();
    }

    /**
     * Loads a deployment from text.
     *
     * @param name name used in error messages
     * @param text the INI text
     * @return the checked deployment
     * @throws SettingsException listing every problem found
     */
    public static Deployment parse(String name, String text) throws SettingsException {
        return new DeploymentLoader(SettingsFile.parse(name, text)).read();
    }

    private Deployment read() throws SettingsException {
        SettingsSection head = file.section("deployment");
        String name = head.getString("name", "the deployment's name");
        failureDomains = head.getList("failure-domains", "failure domains, separated by commas", Optional.empty());
        if (failureDomains.isEmpty() || new HashSet<>(failureDomains).size() != failureDomains.size()) {
            head.reject("failure-domains", "none named, or one twice", "each failure domain once");
        }
        double weight = head.getDouble("attainment-weight", 0, 1, Optional.of(0.5));
        head.finish();
        file.sections("pool").forEach(this::readPool);
        file.sections("pipeline").forEach(this::readPipeline);
        file.sections("service").forEach(this::readService);
        file.sections("account").forEach(this::readAccount);
        checkUnusedStages();
        PlacementLoader.check(file, pools);
        file.finish(SECTION_KINDS);
        return new Deployment(
                name, failureDomains, weight, Map.copyOf(accounts), Map.copyOf(pools), Map.copyOf(pipelines));
    }

    private void readPool(SettingsSection s) {
        PoolKind kind = s.getEnum("kind", PoolKind.class, Optional.empty());
        List<String> domains = s.getList("failure-domains", "names from [deployment]", Optional.of(failureDomains));
        checkReferences(s, "failure-domains", domains, failureDomains);
        pools.put(
                s.subject(),
                new PoolSettings(
                        s.subject(),
                        kind,
                        (int) s.getLong("size", 1, MAX_UPSTREAMS, Optional.empty()),
                        domains,
                        s.getList("models", "models, separated by commas", Optional.of(List.of())),
                        (int) s.getLong("concurrency", 1, MAX_CONCURRENCY, Optional.of(8L)),
                        s.getDouble("cost-per-second", 0, 1e9, Optional.of(1.0)),
                        s.getBoolean("checks-fencing", Optional.of(false)),
                        s.getBoolean("reports-load", Optional.of(false))));
        s.finish();
    }

    private void readPipeline(SettingsSection s) {
        List<String> names = s.getList("stages", "stage names, separated by commas", Optional.empty());
        if (new HashSet<>(names).size() != names.size()) {
            s.reject("stages", "a stage is named twice", "each stage once");
        }
        if (names.size() > MAX_STAGES) {
            s.reject("stages", names.size() + " stages", "at most " + MAX_STAGES);
        }
        List<StageSettings> stages = new ArrayList<>();
        for (String stage : names) {
            stages.add(readStage(file.section("stage " + s.subject() + "/" + stage), stage));
        }
        addPipeline(s, stages, false);
    }

    private StageSettings readStage(SettingsSection s, String stage) {
        String pool = s.getString("pool", "the name of a [pool ...]");
        checkReferences(s, "pool", List.of(pool), pools.keySet());
        String model = s.getString("model", "a model of the pool", "");
        if (!model.isEmpty() && pools.containsKey(pool)) {
            checkReferences(s, "model", List.of(model), pools.get(pool).models());
        }
        boolean repeatable = s.getBoolean("repeatable", Optional.of(true));
        String path = s.getString("path", "an HTTP path", "");
        s.finish();
        return new StageSettings(stage, pool, model, repeatable, path);
    }

    private void readService(SettingsSection s) {
        String pool = s.getString("pool", "the name of a [pool ...] of kind service");
        checkReferences(s, "pool", List.of(pool), pools.keySet());
        if (pools.containsKey(pool) && pools.get(pool).kind() != PoolKind.SERVICE) {
            s.reject("pool", "'" + pool + "' is not of kind service", "a pool of plain services");
        }
        boolean repeatable = s.getBoolean("repeatable", Optional.of(true));
        String path = s.getString("path", "an HTTP path", "/" + s.subject());
        addPipeline(s, List.of(new StageSettings("call", pool, "", repeatable, path)), true);
    }

    private void addPipeline(SettingsSection s, List<StageSettings> stages, boolean service) {
        Duration deadline = s.getDuration("deadline", Optional.of(DEFAULT_DEADLINE));
        Priority priority = s.getEnum("priority", Priority.class, Optional.of(Priority.STANDARD));
        if (pipelines.containsKey(s.subject())) {
            s.reject("", "the name is taken by another pipeline or service", "");
        }
        pipelines.put(s.subject(), new PipelineSettings(s.subject(), deadline, priority, stages, service));
        s.finish();
    }

    private void readAccount(SettingsSection s) {
        String digest = s.getString("key-sha256", "64 lower-case hexadecimal digits");
        if (!digest.isEmpty() && !SHA256_HEX.matcher(digest).matches()) {
            s.reject("key-sha256", "not a digest", "64 lower-case hexadecimal digits");
        }
        if (!digest.isEmpty() && !keyDigests.add(digest)) {
            // Requests with a shared key would count for whichever account was parsed last.
            s.reject("key-sha256", "another account has the same key", "a key of its own for each account");
        }
        List<String> allowed = s.getList("pipelines", "pipelines and services", Optional.empty());
        checkReferences(s, "pipelines", allowed, pipelines.keySet());
        accounts.put(
                s.subject(),
                new AccountSettings(
                        s.subject(),
                        digest,
                        s.getDouble("weight", 0.001, 1e6, Optional.of(1.0)),
                        s.getDouble("rate-per-second", 0.001, 1e6, Optional.empty()),
                        s.getEnum("highest-priority", Priority.class, Optional.of(Priority.STANDARD)),
                        s.getDuration("max-deadline", Optional.of(DEFAULT_DEADLINE)),
                        allowed));
        s.finish();
    }

    private void checkReferences(SettingsSection s, String key, List<String> names, Collection<String> known) {
        for (String name : names) {
            if (!name.isEmpty() && !known.contains(name)) {
                s.reject(key, "unknown name '" + name + "'", "one of " + String.join(", ", known));
            }
        }
    }

    private void checkUnusedStages() {
        Set<String> used = new HashSet<>();
        for (PipelineSettings pipeline : pipelines.values()) {
            pipeline.stages().forEach(stage -> used.add("stage " + pipeline.name() + "/" + stage.name()));
        }
        for (SettingsSection s : file.sections("stage")) {
            if (!used.contains(s.name())) {
                s.reject("", "no pipeline names this stage", "");
            }
        }
    }
}
