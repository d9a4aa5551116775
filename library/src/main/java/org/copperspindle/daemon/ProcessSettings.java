package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.copperspindle.agent.AgentLimits;
import org.copperspindle.agent.AgentSettings;
import org.copperspindle.consensus.VoterAddress;
import org.copperspindle.entry.EntrySettings;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.settings.SettingsSection;
import org.copperspindle.wire.WireTransport;

/**
 * Settings of one process: its identity, its addresses and its roles.
 *
 * @param id            identity of the process
 * @param failureDomain failure domain of its VM
 * @param listen        address for the system's own protocol
 * @param controls      addresses of the control members
 * @param entry         settings of the entry role, if it has it
 * @param agent         settings of the agent role, if it has it
 * @param control       settings of the control role, if it has it
 * @param metricsListen separate address for probes and metrics, for a process without callers or operators
 */
public record ProcessSettings(
        String id,
        String failureDomain,
        InetSocketAddress listen,
        List<InetSocketAddress> controls,
        Optional<EntrySettings> entry,
        Optional<AgentSettings> agent,
        Optional<ControlSettings> control,
        Optional<InetSocketAddress> metricsListen) {

    private static final List<String> KINDS = List.of("process", "entry", "agent", "control");
    private static final Duration DEFAULT_RENEW_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DEFAULT_LEASE = Duration.ofSeconds(5);
    private static final Duration DEFAULT_ELECTION_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MIN_ELECTION_TIMEOUT = Duration.ofMillis(100);
    private static final String DEFAULT_GROUP = "copperspindle";
    private static final String VOTERS_EXPECTED = "ID@IP:PORT of each voter, separated by commas";
    private static final int MAX_VOTERS = 5;
    private static final int DEFAULT_MAX_IN_PROGRESS = 2000;

    /**
     * A request body is sent between processes in one frame together with the output of earlier stages, so it may
     * take half of a frame.
     */
    private static final long MAX_BODY_BYTES = WireTransport.MAX_FRAME_BYTES / 2;

    /**
     * Creates settings without a separate address for probes.
     *
     * @param id            identity of the process
     * @param failureDomain failure domain of its VM
     * @param listen        address for the system's own protocol
     * @param controls      addresses of the control members
     * @param entry         settings of the entry role, if it has it
     * @param agent         settings of the agent role, if it has it
     * @param control       settings of the control role, if it has it
     */
    public ProcessSettings(
            String id,
            String failureDomain,
            InetSocketAddress listen,
            List<InetSocketAddress> controls,
            Optional<EntrySettings> entry,
            Optional<AgentSettings> agent,
            Optional<ControlSettings> control) {
        this(id, failureDomain, listen, controls, entry, agent, control, Optional.empty());
    }

    /**
     * Settings of the control role.
     *
     * @param listen          address for operators
     * @param dataFolder      folder of the log
     * @param lease           length of members' leases
     * @param group           name of the group of control members
     * @param voters          configured voters of the log, the same on all members; empty if this process is the
     *                        only one
     * @param electionTimeout time without a message from the leader after which a new one is elected
     */
    public record ControlSettings(
            InetSocketAddress listen,
            Path dataFolder,
            Duration lease,
            String group,
            List<VoterAddress> voters,
            Duration electionTimeout) {

        /**
         * Creates the settings of a single control member.
         *
         * @param listen     address for operators
         * @param dataFolder folder of the log
         * @param lease      length of members' leases
         */
        public ControlSettings(InetSocketAddress listen, Path dataFolder, Duration lease) {
            this(listen, dataFolder, lease, DEFAULT_GROUP, List.of(), DEFAULT_ELECTION_TIMEOUT);
        }
    }

    /**
     * Loads the settings of a process.
     *
     * @param path the file
     * @return the settings
     * @throws SettingsException with every fault found
     */
    public static ProcessSettings load(Path path) throws SettingsException {
        return read(SettingsFile.load(path));
    }

    /**
     * Reads the settings of a process.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException with every fault found
     */
    public static ProcessSettings read(SettingsFile file) throws SettingsException {
        SettingsSection s = file.section("process");
        String id = s.getString("id", "a name unique in the deployment");
        String domain = s.getString("failure-domain", "the failure domain of this VM");
        InetSocketAddress listen = s.getAddress("listen", Optional.empty());
        List<InetSocketAddress> controls = s.getAddresses("controls");
        Duration renew = s.getDuration("renew", Optional.of(DEFAULT_RENEW_INTERVAL));
        Optional<InetSocketAddress> metrics = s.getOptionalAddress("metrics-listen");
        s.finish();
        Optional<EntrySettings> entry =
                file.has("entry") ? Optional.of(readEntry(file.section("entry"), domain, renew)) : Optional.empty();
        Optional<AgentSettings> agent =
                file.has("agent") ? Optional.of(readAgent(file.section("agent"), domain, renew)) : Optional.empty();
        Optional<ControlSettings> control =
                file.has("control") ? Optional.of(readControl(file.section("control"))) : Optional.empty();
        if (entry.isEmpty() && agent.isEmpty() && control.isEmpty()) {
            s.reject("", "the process has no role", "a section [entry], [agent] or [control]");
        }
        file.finish(KINDS);
        return new ProcessSettings(id, domain, listen, controls, entry, agent, control, metrics);
    }

    private static EntrySettings readEntry(SettingsSection s, String domain, Duration renew) {
        EntrySettings entry = new EntrySettings(
                s.getAddress("listen", Optional.empty()),
                domain,
                renew,
                (int) s.getLong("max-in-progress", 1, 1_000_000, Optional.of((long) DEFAULT_MAX_IN_PROGRESS)),
                s.getDuration("stop-delay", Optional.of(Duration.ofSeconds(2))),
                readHttpLimits(s));
        s.finish();
        return entry;
    }

    private static HttpLimits readHttpLimits(SettingsSection s) {
        HttpLimits d = HttpLimits.DEFAULT;
        return new HttpLimits(
                (int) s.getBytes("max-line", 256, 64 << 10, Optional.of((long) d.maxLineBytes())),
                (int) s.getBytes("max-header", 1 << 10, 256 << 10, Optional.of((long) d.maxHeaderBytes())),
                (int) s.getBytes("max-body", 1, MAX_BODY_BYTES, Optional.of((long) d.maxBodyBytes())),
                (int) s.getLong("max-connections", 1, 1_000_000, Optional.of((long) d.maxConnections())),
                s.getDuration("read-timeout", Optional.of(d.readTimeout())),
                s.getDuration("body-timeout", Optional.of(d.bodyTimeout())),
                s.getDuration("idle-timeout", Optional.of(d.idleTimeout())),
                s.getDuration("write-timeout", Optional.of(d.writeTimeout())),
                s.getBytes("max-pending", 4 << 10, 64 << 20, Optional.of(d.maxPendingBytes())));
    }

    private static AgentSettings readAgent(SettingsSection s, String domain, Duration renew) {
        AgentSettings agent = new AgentSettings(
                s.getString("upstream-id", "the identity of the upstream"),
                s.getString("pool", "the pool of the upstream"),
                domain,
                s.getAddress("upstream", Optional.empty()),
                s.getList("models", "models, separated by commas", Optional.of(List.of())),
                renew,
                s.getString("health-path", "a path that answers 503 while the upstream leaves", ""),
                s.getDuration("health-interval", Optional.of(AgentSettings.DEFAULT_HEALTH_INTERVAL)),
                s.getDuration("report-interval", Optional.of(AgentSettings.DEFAULT_REPORT_INTERVAL)),
                readStatuses(s),
                readLimits(s));
        s.finish();
        return agent;
    }

    private static Set<Integer> readStatuses(SettingsSection s) {
        String expected = "HTTP statuses from 400 to 599, separated by commas";
        Set<Integer> statuses = new TreeSet<>();
        for (String status : s.getList("refusal-statuses", expected, Optional.of(List.of()))) {
            if (status.matches("[45]\\d\\d")) {
                statuses.add(Integer.valueOf(status));
            } else {
                s.reject("refusal-statuses", status, expected);
            }
        }
        return statuses;
    }

    private static AgentLimits readLimits(SettingsSection s) {
        AgentLimits d = AgentLimits.DEFAULT;
        return new AgentLimits(
                (int) s.getLong("concurrency", 1, 100_000, Optional.of((long) d.concurrency())),
                (int) s.getLong("queue", 0, 100_000, Optional.of((long) d.queue())),
                (int) s.getLong("records", 100, 10_000_000, Optional.of((long) d.records())),
                s.getBytes("kept-answers", Optional.of(d.keptBytes())),
                (int) s.getBytes("max-answer", Optional.of((long) d.maxResponse())),
                s.getDuration("max-deadline", Optional.of(d.maxDeadline())),
                s.getDuration("max-clock-age", Optional.of(d.maxClockAge())),
                s.getDuration("keep", Optional.of(d.retention())),
                s.getDuration("linger", Optional.of(d.abortGrace())),
                s.getDuration("drain-wait", Optional.of(d.drainWait())));
    }

    private static ControlSettings readControl(SettingsSection s) {
        ControlSettings control = new ControlSettings(
                s.getAddress("listen", Optional.empty()),
                Path.of(s.getString("data-folder", "a folder on a disk")),
                s.getDuration("lease", Optional.of(DEFAULT_LEASE)),
                s.getString("group", "a name for the group of control members", DEFAULT_GROUP),
                readVoters(s),
                s.getDuration("election-timeout", Optional.of(DEFAULT_ELECTION_TIMEOUT)));
        if (control.electionTimeout().compareTo(MIN_ELECTION_TIMEOUT) < 0) {
            s.reject("election-timeout", "too short to be told from a slow disk", "100ms or more");
        }
        s.finish();
        return control;
    }

    /**
     * Reads the voters. The key is required, because a member without it would take itself for the only one and
     * start a second group.
     */
    private static List<VoterAddress> readVoters(SettingsSection s) {
        List<VoterAddress> voters = new ArrayList<>();
        for (String text : s.getList("voters", VOTERS_EXPECTED, Optional.empty())) {
            int at = text.indexOf('@');
            Optional<InetSocketAddress> address =
                    at < 1 ? Optional.empty() : SettingsSection.findAddress(text.substring(at + 1));
            if (address.isEmpty()) {
                s.reject("voters", "bad voter '" + text + "'", VOTERS_EXPECTED);
                continue;
            }
            voters.add(new VoterAddress(text.substring(0, at), address.get()));
        }
        long names = voters.stream().map(VoterAddress::name).distinct().count();
        if (names < voters.size() || voters.size() % 2 == 0 || voters.size() > MAX_VOTERS) {
            s.reject("voters", voters.size() + " voters, " + names + " names", "1, 3 or 5 voters of different names");
        }
        return voters;
    }
}
