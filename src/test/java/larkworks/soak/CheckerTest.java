package larkworks.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larkworks.soak.History.Attempt;
import larkworks.soak.History.Effect;
import larkworks.soak.History.Ran;
import larkworks.soak.History.Request;
import org.junit.jupiter.api.Test;

/** The oracle sees each kind of break, and none where a rule was kept. */
class CheckerTest {

    private static final long S = 1_000_000;
    private static final SoakSettings SETTINGS = new SoakSettings(1, 1, 2, 10, 20, SoakClient.Habits.PLAIN,
            true, 0.05, 0);

    private final History history = new History();

    private Request sent(Effect effect) {
        Request request = new Request("r", effect, 0, S, true);
        request.sentUs = 10 * S;
        history.requests.put(request.id, request);
        return request;
    }

    private static Attempt attempt(long atUs, long toldMs) {
        return new Attempt("s", atUs, atUs, toldMs, Ran.MAYBE);
    }

    private static void answer(Request request, int status, String body, long atUs) {
        request.answers++;
        request.status = status;
        request.body = body;
        request.answeredUs = atUs;
    }

    private void assertBroken(String what) {
        List<String> broken = new Checker(history, SETTINGS).check();
        assertEquals(1, broken.size(), broken.toString());
        assertTrue(broken.get(0).contains(what), broken.toString());
    }

    @Test
    void aRequestServedInTimeKeepsAllRules() {
        Request request = sent(Effect.UNSAFE);
        request.attempts.add(attempt(10 * S + 5_000, 990));
        request.bodies.add("body");
        answer(request, 200, "body", 10 * S + 50_000);
        assertEquals(List.of(), new Checker(history, SETTINGS).check());
    }

    @Test
    void oneNeverAnsweredOrCutOffOrLateIsSeen() {
        sent(Effect.SAFE);
        assertBroken("never answered");
        history.requests.get("r").cutOffUs = 11 * S;
        assertBroken("closed with no answer");
        answer(history.requests.get("r"), 502, "", 12 * S);
        assertBroken("after its time");
    }

    @Test
    void anAnswerThatNoServerMadeIsSeen() {
        answer(sent(Effect.SAFE), 200, "other", 10 * S + 1);
        assertBroken("no server made");
    }

    @Test
    void aRepeatThatMayRunTwiceIsSeen() {
        Request request = sent(Effect.UNSAFE);
        request.attempts.add(attempt(10 * S, 900));
        request.attempts.add(attempt(10 * S + 9_000, 900));
        answer(request, 502, "", 10 * S + 50_000);
        assertBroken("may have run 2 times");
    }

    @Test
    void anIdThatIsSentAgainAndMayRunTwiceIsSeen() {
        Request left = sent(Effect.UNSAFE);
        left.firstSentUs = 10 * S;
        left.clientLeftUs = 10 * S + 20_000;
        left.attempts.add(attempt(10 * S, 900));
        Request again = left.again(10 * S + 30_000);
        again.sentUs = 10 * S + 30_000;
        history.sentAgain.add(left);
        history.requests.put("r", again);
        answer(again, 502, "", 10 * S + 50_000);
        assertEquals(List.of(), new Checker(history, SETTINGS).check());
        again.attempts.add(attempt(10 * S + 200_000, 800));
        assertBroken("may have run 2 times");
    }

    @Test
    void anUploadCutOffWithNoAnswerIsSeen() {
        Request request = sent(Effect.UNSAFE);
        request.large = true;
        request.firstSentUs = 10 * S;
        request.sentUs = History.NEVER;
        assertEquals(List.of(), new Checker(history, SETTINGS).check());
        request.cutOffUs = 11 * S;
        assertBroken("its upload was cut off");
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsSeen() {
        Request request = sent(Effect.UNSAFE);
        request.attempts.add(attempt(10 * S, 900));
        answer(request, 503, "", 10 * S + 50_000);
        assertBroken("refused though");
    }

    @Test
    void anAttemptForAClientThatLeftOrWithTooLongADeadlineIsSeen() {
        Request request = sent(Effect.SAFE);
        request.clientLeftUs = 10 * S + 20_000;
        request.attempts.add(attempt(10 * S + 200_000, 700));
        assertBroken("after its client left");
        request.clientLeftUs = History.NEVER;
        answer(request, 502, "", 10 * S + 300_000);
        assertEquals(List.of(), new Checker(history, SETTINGS).check());
        request.attempts.add(attempt(10 * S + 500_000, 700));
        assertBroken("was told 700 ms");
    }

    @Test
    void anAttemptAfterADrainsGraceIsSeen() {
        Request request = sent(Effect.SAFE);
        history.told.add(new History.Told(0, "s", 8 * S));
        request.attempts.add(attempt(10 * S, 900));
        answer(request, 502, "", 10 * S + 300_000);
        assertBroken("after its drain was told");
    }

    @Test
    void aColdServerSentTooMuchIsSeen() {
        history.coldStarts.add(new History.ColdStart("s", 10 * S));
        Request request = sent(Effect.SAFE);
        answer(request, 502, "", 10 * S + 300_000);
        int most = (int) SETTINGS.coldBudget(100_000);
        for (int i = 0; i <= most; i++) {
            request.attempts.add(attempt(10 * S + 1_000 * i, 500));
        }
        assertBroken("old, was sent");
    }
}
