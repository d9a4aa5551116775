package org.copperspindle.gateway;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.copperspindle.route.RouteStage;

/**
 * The stage pools of a deployment and half a minute of requests to them.
 *
 * @param domains     failure domains over which upstreams and callers are spread
 * @param pools       its stage pools
 * @param kinds       its request kinds
 * @param bursts      intervals with a higher request rate
 * @param nodes       nodes that receive requests, each with its own admission
 * @param accounts    client accounts, the first with the most requests; each has the share 1/n of the first
 * @param evacuations intervals in which the first failure domain has no upstreams
 */
record ReplayedLoad(
        int domains,
        List<Pool> pools,
        List<Kind> kinds,
        List<Burst> bursts,
        int nodes,
        int accounts,
        List<Evacuation> evacuations) {

    private static final String ALL_KINDS = "";

    private ReplayedLoad(int domains, List<Pool> pools, List<Kind> kinds, List<Burst> bursts) {
        this(domains, pools, kinds, bursts, 1, 1, List.of());
    }

    /**
     * Returns a load of briefs, summaries and questions. Bursts: briefs from 4 to 10 s, summaries from 16 to 22 s,
     * all kinds from 26 to 30 s.
     */
    static ReplayedLoad briefsSummariesQuestions() {
        return new ReplayedLoad(
                3,
                List.of(
                        new Pool("track", 3, 6, 150, 21.3, 30_750_000),
                        new Pool("roster", 4, 16, 150, 7.99, 2_755_560),
                        new Pool("log", 4, 31, 150, 4.18, 533_900)),
                List.of(
                        new Kind(
                                "brief",
                                1,
                                1300,
                                6000,
                                8.4,
                                List.of(stage("track", 3_000_000)),
                                random -> List.of(random.nextInt(10) < 7 ? 1 + random.nextInt(4) : 0)),
                        new Kind(
                                "summary",
                                0,
                                1700,
                                5000,
                                9.3,
                                List.of(stage("track", 8000), stage("roster", 60_000, 0), stage("log", 6000, 1)),
                                random -> List.of(1, 8, 10 + random.nextInt(13))),
                        new Kind(
                                "question",
                                2,
                                1500,
                                15_000,
                                4.9,
                                List.of(
                                        stage("track", 3_000_000),
                                        stage("track", 8000),
                                        stage("roster", 60_000, 1),
                                        stage("log", 6000, 2)),
                                random -> List.of(
                                        random.nextInt(10) < 4 ? 1 + random.nextInt(2) : 0,
                                        1,
                                        8,
                                        10 + random.nextInt(13)))),
                List.of(
                        new Burst("brief", 4, 10, 2.4),
                        new Burst("summary", 16, 22, 2.4),
                        new Burst(ALL_KINDS, 26, 30, 1.7)));
    }

    /**
     * Returns a load of reviews, descriptions and tags. Descriptions and tags need the same chain of three pools;
     * tags are less urgent and have the longer objective. Bursts: descriptions from 4 to 10 s, reviews from 16 to 22
     * s, all kinds from 26 to 30 s.
     */
    static ReplayedLoad reviewsDescriptionsTags() {
        return new ReplayedLoad(
                4,
                List.of(
                        new Pool("upload", 12, 14, 240, 15, 17_000_000),
                        new Pool("relay", 10, 40, 240, 5.13, 4_421_050),
                        new Pool("queue", 11, 49, 240, 4.21, 541_042)),
                List.of(
                        new Kind(
                                "review",
                                0,
                                1219,
                                12_194,
                                41.3,
                                List.of(stage("upload", 800_000)),
                                random -> List.of(random.nextInt(10) < 7 ? 1 + random.nextInt(4) : 0)),
                        new Kind(
                                "description",
                                1,
                                2308,
                                15_052,
                                63.8,
                                List.of(stage("upload", 8000), stage("relay", 60_000, 0), stage("queue", 6000, 1)),
                                random -> List.of(1, 4, 4 + random.nextInt(5))),
                        new Kind(
                                "tag",
                                2,
                                2710,
                                6021,
                                68.8,
                                List.of(
                                        stage("upload", 800_000),
                                        stage("upload", 8000),
                                        stage("relay", 60_000, 1),
                                        stage("queue", 6000, 2)),
                                random -> List.of(
                                        random.nextInt(10) < 4 ? 1 + random.nextInt(2) : 0,
                                        1,
                                        4,
                                        4 + random.nextInt(5)))),
                List.of(
                        new Burst("description", 4, 10, 3.1),
                        new Burst("review", 16, 22, 2.8),
                        new Burst(ALL_KINDS, 26, 30, 2)));
    }

    /**
     * Returns the load of reviews, descriptions and tags on a deployment of six failure domains, with three to five
     * upstreams of each stage pool in each. Bursts: descriptions from 5 to 11 s, reviews from 17 to 23 s, all kinds
     * from 26 to 30 s.
     */
    static ReplayedLoad sixDomains() {
        ReplayedLoad four = reviewsDescriptionsTags();
        return new ReplayedLoad(
                6,
                List.of(
                        new Pool("upload", 20, 8, 240, 26, 9_600_000),
                        new Pool("relay", 26, 14, 240, 15, 1_500_000),
                        new Pool("queue", 30, 18, 240, 11, 200_000)),
                List.of(
                        four.kinds().get(0).with(1119, 12_212, 35.3),
                        four.kinds().get(1).with(2208, 12_043, 33.6),
                        four.kinds().get(2).with(2510, 6023, 70.5)),
                List.of(
                        new Burst("description", 5, 11, 2.3),
                        new Burst("review", 17, 23, 2.4),
                        new Burst(ALL_KINDS, 26, 30, 1.5)));
    }

    /**
     * Returns a load of drafts, notes and labels on 33 nodes. Bursts: notes from 4 to 9 s and from 15 to 20 s, drafts
     * from 26 to 31 s. A third of the upstreams is missing from 14 to 20 s, so that notes burst at two thirds of the
     * capacity.
     */
    static ReplayedLoad draftsNotesLabels() {
        List<RouteStage> chain = List.of(stage("registry", 8000), stage("intake", 60_000, 0), stage("sender", 6000, 1));
        return new ReplayedLoad(
                3,
                List.of(
                        new Pool("registry", 13, 8, 240, 26, 9_600_000),
                        new Pool("intake", 11, 23, 240, 8.957, 2_587_500),
                        new Pool("sender", 13, 29, 240, 7.138, 319_000)),
                List.of(
                        new Kind(
                                "draft",
                                0,
                                1519,
                                12_156,
                                17.4,
                                List.of(stage("registry", 800_000)),
                                random -> List.of(random.nextInt(10) < 7 ? 1 + random.nextInt(4) : 0),
                                6.3,
                                0.38),
                        new Kind("note", 1, 2008, 12_048, 49.8, chain, ReplayedLoad::chainPieces, 1.4, 0.21),
                        new Kind(
                                "label",
                                2,
                                4010,
                                6014,
                                25.2,
                                afterLarge("registry", chain),
                                ReplayedLoad::largeAndChainPieces,
                                0.18,
                                0.041)),
                List.of(new Burst("note", 4, 9, 1.9), new Burst("note", 15, 20, 1.9), new Burst("draft", 26, 31, 2.9)),
                33,
                16,
                List.of(new Evacuation(14, 20)));
    }

    /**
     * Returns a load of digests, reminders and replies on 24 nodes. Bursts: digests from 4 to 10 s, reminders from 14
     * to 20 s, all kinds from 26 to 30 s.
     */
    static ReplayedLoad digestsRemindersReplies() {
        List<RouteStage> chain = List.of(stage("roster", 8000), stage("billing", 60_000, 0), stage("opt-out", 6000, 1));
        return new ReplayedLoad(
                3,
                List.of(
                        new Pool("roster", 11, 8, 240, 26, 9_600_000),
                        new Pool("billing", 11, 19, 240, 10.53, 2_137_500),
                        new Pool("opt-out", 11, 25, 240, 8.2, 275_000)),
                List.of(
                        new Kind(
                                "digest",
                                0,
                                1726,
                                12_183,
                                20.2,
                                List.of(stage("roster", 800_000)),
                                random -> List.of(random.nextInt(10) < 7 ? 1 + random.nextInt(4) : 0),
                                5.5,
                                0.82),
                        new Kind("reminder", 1, 2711, 15_059, 33.2, chain, ReplayedLoad::chainPieces, 1, 0.15),
                        new Kind(
                                "reply",
                                2,
                                3313,
                                6023,
                                29.3,
                                afterLarge("roster", chain),
                                ReplayedLoad::largeAndChainPieces,
                                0.4,
                                0.06)),
                List.of(
                        new Burst("digest", 4, 10, 3.1),
                        new Burst("reminder", 14, 20, 3.1),
                        new Burst(ALL_KINDS, 26, 30, 1.7)),
                24,
                16,
                List.of());
    }

    /** Returns whether the first failure domain is evacuated at a second. */
    boolean isEvacuated(double second) {
        return evacuations.stream().anyMatch(each -> second >= each.from() && second < each.until());
    }

    /** Returns the factor of a kind's request rate at a second. */
    double rateFactor(String kind, double second) {
        return bursts.stream()
                .filter(burst -> burst.kind().equals(kind) || burst.kind().equals(ALL_KINDS))
                .filter(burst -> second >= burst.from() && second < burst.until())
                .mapToDouble(Burst::rateFactor)
                .findFirst()
                .orElse(1);
    }

    private static List<Integer> chainPieces(RandomGenerator random) {
        return List.of(1, 4, 4 + random.nextInt(5));
    }

    private static List<Integer> largeAndChainPieces(RandomGenerator random) {
        return List.of(random.nextInt(10) < 4 ? 1 + random.nextInt(2) : 0, 1, 4, 4 + random.nextInt(5));
    }

    /** Returns a chain of three stages next to a stage with large results. */
    private static List<RouteStage> afterLarge(String pool, List<RouteStage> chain) {
        return List.of(
                stage(pool, 800_000),
                chain.get(0),
                stage(chain.get(1).pool(), chain.get(1).resultBytes(), 1),
                stage(chain.get(2).pool(), chain.get(2).resultBytes(), 2));
    }

    private static RouteStage stage(String pool, long bytes, Integer... after) {
        return new RouteStage(pool, List.of(after), bytes);
    }

    /** A stage pool; times in milliseconds, result memory of one upstream in bytes. */
    record Pool(String name, int upstreams, int batch, double call, double piece, long bytes) {}

    /**
     * A request kind; times in milliseconds.
     *
     * @param pieces      draws the pieces of each stage
     * @param valueOnTime value of a response within the objective
     * @param valueLate   value of a later response
     */
    record Kind(
            String name,
            int rank,
            long objective,
            long deadline,
            double perSecond,
            List<RouteStage> stages,
            Function<RandomGenerator, List<Integer>> pieces,
            double valueOnTime,
            double valueLate) {

        private Kind(
                String name,
                int rank,
                long objective,
                long deadline,
                double perSecond,
                List<RouteStage> stages,
                Function<RandomGenerator, List<Integer>> pieces) {
            this(name, rank, objective, deadline, perSecond, stages, pieces, 1, 0.15);
        }

        private Kind with(long otherObjective, long otherDeadline, double otherRate) {
            return new Kind(name, rank, otherObjective, otherDeadline, otherRate, stages, pieces);
        }
    }

    /** An interval in seconds with a higher request rate of a kind. */
    record Burst(String kind, double from, double until, double rateFactor) {}

    /** An interval in seconds in which a failure domain is evacuated. */
    record Evacuation(double from, double until) {}
}
