package larkworks.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import larkworks.rollout.Plan.Wave;
import larkworks.rollout.RolloutState.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The steps of a rollout, on a clock of their own. */
class RolloutsTest {

    private static final long START = 1_000_000;
    private static final long VERSION = 7;

    private final Rollouts rollouts = new Rollouts(START - 60_000);

    private static JsonNode json(String text) throws Exception {
        return new ObjectMapper().readTree(text.replace('\'', '"'));
    }

    private static RolloutState published(RolloutState before, List<Wave> waves) throws Exception {
        JsonNode patch = json("{'settings':{'limits':{'maxAttempts':2}}}");
        Plan plan = new Plan("p", patch, waves, 1_000, 30_000, 0.1, 10);
        plan.check();
        return Rollouts.publish(before, plan, before == null ? VERSION : before.version() + 1, START);
    }

    private void report(String proxy, long version, long requests, long failures, long atMs) {
        rollouts.report(proxy, new Report(version, requests, failures, 0, "", null), atMs);
    }

    @Test
    void aProxyCutOffInItsWaveIsNeitherHealthyNorFailedAndTheWaveWaitsUpToItsBound() throws Exception {
        RolloutState state = published(null, List.of(new Wave(null, List.of("a", "b")), new Wave(1.0, null)));
        report("c", 0, 100, 0, START);
        assertEquals(VERSION, rollouts.target(state, "b", START).version());
        assertEquals(0, rollouts.target(state, "c", START).version());
        for (long at = START; at < START + 30_000; at += 1_000) {
            report("a", VERSION, 50, 0, at);
            assertEquals(state, rollouts.step(state, at));
        }
        RolloutState paused = rollouts.step(state, START + 30_000);
        assertEquals(Phase.PAUSED, paused.phase());
        assertTrue(paused.reason().endsWith("no word of the version from b"), paused.reason());
        RolloutState resumed = Rollouts.command(paused, "resume", START + 31_000);
        report("a", VERSION, 60, 0, START + 31_000);
        report("b", VERSION, 10, 0, START + 31_000);
        assertEquals(resumed, rollouts.step(resumed, START + 31_900), "it has not baked");
        assertEquals(1, rollouts.step(resumed, START + 32_000).wave());
    }

    @Test
    void whoRunsTheVersionKeepsItWhenOthersJoinAndAfterTheServiceStartedAnew() throws Exception {
        RolloutState state = published(null, List.of(new Wave(0.5, null), new Wave(1.0, null)));
        report("a", VERSION, 0, 0, START);
        for (int i = 0; i < 20; i++) {
            report("n" + i, 0, 0, 0, START);
        }
        assertEquals(VERSION, rollouts.target(state, "a", START).version());
        long chosen = java.util.stream.IntStream.range(0, 20)
                .filter(i -> rollouts.target(state, "n" + i, START).version() == VERSION).count();
        assertTrue(chosen >= 10 && chosen <= 11, chosen + " of 20, and a");
        Rollouts anew = new Rollouts(START);
        anew.report("n1", new Report(0, 0, 0, 0, "", null), START + 1);
        assertEquals(0, anew.target(state, "n1", START + 1).version(),
                "the first to report is not all there are");
    }

    @Test
    void aRefusalOrErrorsBeyondTheBoundRollBackToTheBaseAndADoneOneIsTheNextBase() throws Exception {
        RolloutState first = published(null, List.of(new Wave(1.0, null)));
        report("a", VERSION, 100, 10, START);
        RolloutState done = rollouts.step(first, START + 1_000);
        assertEquals(Phase.DONE, done.phase());
        RolloutState second = published(done, List.of(new Wave(1.0, null)));
        report("a", VERSION + 1, 100, 11, START + 2_000);
        RolloutState back = rollouts.step(second, START + 2_000);
        assertEquals(Phase.ROLLED_BACK, back.phase());
        assertEquals(VERSION, rollouts.target(back, "a", START + 2_000).version());
        RolloutState third = published(back, List.of(new Wave(1.0, null)));
        Report refusal = new Report(VERSION, 0, 0, third.version(), "classes differ", null);
        rollouts.report("a", refusal, START + 3_000);
        assertEquals("a can't take it up: classes differ", rollouts.step(third, START + 3_000).reason());
        assertThrows(Conflict.class, () -> Rollouts.command(back, "rollback", START));
        assertThrows(Conflict.class, () -> Rollouts.publish(third, third.plan(), 9, START));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1_000, 1_000, 3_600_000})
    void aWaveBakesItsTimeAfterARestartWithTheClockStepped(long stepMs) throws Exception {
        RolloutState state = published(null, List.of(new Wave(0.5, null), new Wave(1.0, null)));
        long restart = START + 500 + stepMs;
        Rollouts anew = new Rollouts(restart);
        for (int ms = 0; ms < 3_900; ms += 100) {
            anew.report("a", new Report(ms < 3_000 ? 0 : VERSION, 50, 0, 0, "", null), restart + ms);
            assertEquals(0, anew.step(state, restart + ms).wave(), ms + " ms after the restart");
        }
        anew.report("a", new Report(VERSION, 50, 0, 0, "", null), restart + 4_100);
        assertEquals(1, anew.step(state, restart + 4_100).wave());
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 3_600_000})
    void aWaveWaitsForItsProxiesAfterARestartWithTheClockStepped(long stepMs) throws Exception {
        RolloutState state = published(null, List.of(new Wave(null, List.of("a", "b"))));
        long restart = START + stepMs;
        Rollouts anew = new Rollouts(restart);
        assertEquals(Phase.RUNNING, anew.step(state, restart + 5_000).phase());
        assertEquals(Phase.RUNNING, anew.step(state, restart + 29_000).phase());
        assertEquals(Phase.PAUSED, anew.step(state, restart + 35_000).phase());
    }

    /** The examples of RFC 7396, appendix A, that objects can show. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "{'a':'b'}|{'a':'c'}|{'a':'c'}", "{'a':'b'}|{'b':'c'}|{'a':'b','b':'c'}", "{'a':'b'}|{'a':null}|{}",
        "{'a':'b','b':'c'}|{'a':null}|{'b':'c'}", "{'a':['b']}|{'a':'c'}|{'a':'c'}",
        "{'a':{'b':'c'}}|{'a':{'b':'d','c':null}}|{'a':{'b':'d'}}",
        "{}|{'a':{'bb':{'ccc':null}}}|{'a':{'bb':{}}}",
    }, quoteCharacter = '`')
    void patchesAsTheStandardSays(String document, String patch, String result) throws Exception {
        assertEquals(json(result), Rollouts.patched(json(document), json(patch)));
    }
}
