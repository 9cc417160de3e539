package firstage.policy;

import static firstage.policy.FakePolicyActions.LOAD;
import static firstage.policy.FakePolicyActions.LOOKUP;
import static firstage.policy.FakePolicyActions.REPORT;
import static firstage.policy.FakePolicyActions.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.LoadReport;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorkloadSchedulerTest {
    private final FakePolicyActions host = new FakePolicyActions();

    // ---- Rule 1
    @Test
    void withoutEnginesABatchIsHeldAndAnsweredBeforeItsTimeIsUp() {
        host.start(0).take(1, LOOKUP).take(2, LOAD);
        assertThat(host.answered(1)).isFalse();
        host.pass(5 * SECOND);
        assertThat(host.acts).contains("pushBack 1").doesNotContain("error 1");
        host.pass(15 * SECOND);
        assertThat(host.answered(2)).isTrue();
    }

    @Test
    void aLateOutcomeOfAClosedBatchSendsNothing() {
        host.start(2).take(1, LOOKUP);
        host.brain.onClientGone(host.now, 1);
        host.end(1, AttemptOutcome.CONNECT_FAILED).pass(SECOND);
        assertThat(host.sent(1)).isEqualTo(1);
        assertThat(host.answered(1)).isFalse();
        assertThat(host.acts).contains("forget 1");
    }

    @Test
    void aFullQueuePushesNewcomersBackAtOnce() {
        host.start(0);
        for (int b = 0; b < 100; b++) {
            host.take(b, REPORT);
        }
        assertThat(host.acts.stream().filter(a -> a.startsWith("pushBack"))).hasSizeGreaterThan(50);
    }

    @Test
    void whatCannotBeOverBeforeTheProgramEndsIsPushedBackInTime() {
        host.start(1).take(1, REPORT).take(2, LOAD);
        host.brain.onShutdown(host.now, host.now + 2 * SECOND);
        host.take(3, REPORT).take(4, LOOKUP);
        assertThat(host.acts).contains("pushBack 3", "dispatch 4").doesNotContain("dispatch 3");
        host.pass(2 * SECOND - 200);
        assertThat(host.answered(1)).isFalse();
        host.pass(400);
        assertThat(host.acts).contains("pushBack 1");
        assertThat(host.answered(2)).isFalse();
    }

    @Test
    void anEngineThatLeftLongAgoIsForgottenOnceNothingIsOutThere() {
        host.start(2).take(1, LOOKUP);
        host.change(host.on(1), Lifecycle.GONE, 0)
                .change(1 - host.on(1), Lifecycle.DRAINING, 0)
                .pass(90 * SECOND);
        assertThat(host.acts).noneMatch(a -> a.startsWith("forgetEngine"));
        host.end(1, AttemptOutcome.SUCCEEDED);
        for (int batch = 2; batch < 6; batch++) {
            host.take(batch, LOAD).pass(20 * SECOND);
        }
        assertThat(host.acts.stream().filter(a -> a.startsWith("forgetEngine")))
                .containsExactly("forgetEngine " + host.on(1));
    }

    // ---- Rule 2
    @Test
    void aOnceOnlyBatchThatMayHaveRunIsErroredNotRepeated() {
        host.start(3).take(1, LOAD).end(1, AttemptOutcome.CONNECTION_LOST).pass(SECOND);
        assertThat(host.sent(1)).isEqualTo(1);
        assertThat(host.acts).contains("error 1").doesNotContain("pushBack 1");
    }

    @Test
    void aOnceOnlyBatchThatNeverRanGoesElsewhere() {
        host.start(3).take(1, LOAD);
        int first = host.on(1);
        host.end(1, AttemptOutcome.CONNECT_FAILED);
        assertThat(host.sent(1)).isEqualTo(2);
        assertThat(host.on(1)).isNotEqualTo(first);
    }

    @Test
    void aReferencedBatchStaysInItsCell() {
        host.loadEffect = Effect.IDEMPOTENT_WITH_KEY;
        host.scope = Scope.CELL;
        host.start(4).take(1, LOAD);
        int first = host.on(1);
        host.end(1, AttemptOutcome.CONNECTION_LOST).pass(SECOND / 10);
        assertThat(host.sent(1)).isEqualTo(2);
        assertThat(host.on(1) / 2).isEqualTo(first / 2);
    }

    @Test
    void aReferencedBatchIsNotRepeatedAfterItsWindow() {
        host.loadEffect = Effect.IDEMPOTENT_WITH_KEY;
        host.start(2)
                .take(1, LOAD)
                .pass(7 * SECOND)
                .end(1, AttemptOutcome.CONNECTION_LOST)
                .pass(SECOND);
        assertThat(host.sent(1)).isEqualTo(1);
        assertThat(host.acts).contains("pushBack 1");
    }

    @Test
    void theWindowCountsFromADispatchThatIsStillOut() {
        host.loadEffect = Effect.IDEMPOTENT_WITH_KEY;
        host.secondCopies = true;
        host.start(3).take(1, LOAD).pass(2 * SECOND);
        assertThat(host.sent(1)).isEqualTo(2);
        for (int beat = 0; beat < 9; beat++) {
            host.note(1, AttemptProgress.Kind.FRACTION_DONE, 0.1).pass(SECOND / 2);
        }
        // The copy breaks within its own window of 6 s, but past that of the first, which never
        // came back.
        host.end(1, AttemptOutcome.CONNECTION_LOST).pass(SECOND);
        assertThat(host.sent(1)).isEqualTo(2);
    }

    // ---- Rules 3, 4
    @Test
    void nothingGoesToADrainingEngine() {
        host.start(2).change(0, Lifecycle.DRAINING, 0);
        for (int b = 0; b < 4; b++) {
            host.take(b, LOOKUP);
            assertThat(host.on(b)).isEqualTo(1);
        }
    }

    @Test
    void aColdEngineGetsNoMoreThanItsBudget() {
        host.managers = 2;
        host.start(1).change(0, Lifecycle.ACTIVE, host.now);
        int sent = 0;
        for (int b = 0; b < 40; b++) {
            host.take(b, LOOKUP);
            if (host.sent(b) > 0) {
                host.end(b, AttemptOutcome.SUCCEEDED);
                sent++;
            }
        }
        // Stands 2 x 0.3 x 8 cores x 0.85 x 2 s = 8.2 s of work from both managers.
        assertThat(sent).isBetween(1, 20);
    }

    @Test
    void anEngineThatWentDownCountsAsColdBeforeTheListSaysSo() {
        host.managers = 2;
        host.start(1).take(1, LOOKUP).end(1, AttemptOutcome.CONNECT_FAILED).pass(2 * SECOND);
        host.end(1, AttemptOutcome.SUCCEEDED);
        int sent = 0;
        for (int b = 2; b < 42; b++) {
            host.take(b, LOOKUP);
            if (host.sent(b) > 0) {
                host.end(b, AttemptOutcome.SUCCEEDED);
                sent++;
            }
        }
        assertThat(sent).isBetween(1, 24);
    }

    @Test
    void aManagerThatJustStartedHoldsItsPartOfAnEngineThatWasColdBeforeForSpent() {
        host.managers = 2;
        host.start(1).change(0, Lifecycle.ACTIVE, host.now - SECOND).take(1, REPORT);
        assertThat(host.sent(1)).isZero();
        // What the life before sent is out of the window.
        host.pass(2 * SECOND + SECOND / 10);
        assertThat(host.sent(1)).isOne();
    }

    @Test
    void earlyAnswersOfShortBatchesDoNotMakeTheNextSeemLightToAColdEngine() {
        host.managers = 2;
        host.start(2).change(1, Lifecycle.GONE, 0);
        for (int b = 0; b < 4; b++) {
            host.take(b, REPORT);
        }
        // Of four reports told as 2 s of work each, the short ones are over.
        host.slowly(0, 1_000).slowly(1, 1_000);
        host.change(0, Lifecycle.GONE, 0).change(1, Lifecycle.ACTIVE, host.now);
        for (int b = 4; b < 24; b++) {
            host.take(b, REPORT);
            if (host.sent(b) > 0) {
                host.slowly(b, 1_000);
            }
        }
        // It stands 8.2 s of work in any 2 s from both managers, by the rule: four reports of 2 s.
        assertThat(host.dispatches.keySet().stream().filter(b -> b >= 4).count()).isBetween(1L, 2L);
    }

    @Test
    void aBrokenConnectionOfALivingEngineDoesNotMakeItCold() {
        host.managers = 2;
        host.start(1)
                .take(0, REPORT)
                .pass(SECOND / 2)
                .take(1, LOOKUP)
                .end(1, AttemptOutcome.CONNECTION_LOST);
        host.note(0, AttemptProgress.Kind.FRACTION_DONE, 0.1);
        host.end(0, AttemptOutcome.SUCCEEDED);
        for (int b = 2; b < 42; b++) {
            host.take(b, LOOKUP).end(b, AttemptOutcome.SUCCEEDED);
        }
        assertThat(host.dispatches).hasSize(42);
    }

    @Test
    void hundredsOfManagersTogetherKeepAColdEnginesBudgetAndStillUseIt() {
        int sent = 0;
        for (int rank = 0; rank < 200; rank++) {
            FakePolicyActions one = new FakePolicyActions();
            one.managers = 200;
            one.rank = rank;
            one.start(2).take(0, LOOKUP).end(0, AttemptOutcome.SUCCEEDED);
            one.change(0, Lifecycle.GONE, 0)
                    .change(1, Lifecycle.ACTIVE, one.now)
                    .take(1, LOOKUP)
                    .take(2, LOOKUP);
            sent += one.sent(1) + one.sent(2);
        }
        // It stands 8.2 s of work in any 2 s, which is 41 lookups of 0.2 s.
        assertThat(sent).isBetween(8, 30);
    }

    /**
     * Of 2,600 managers 160 share an engine, and warm it by their parts; by the settings' it would
     * stand idle.
     */
    @Test
    void inCellsAColdEngineIsWarmedByThePartOfThoseThatShareIt() {
        int bySettings = 0;
        int byPlan = 0;
        for (int rank = 0; rank < 160; rank++) {
            bySettings += sentToACold(rank, 0);
            byPlan += sentToACold(rank, 0.875 / 160);
        }
        // It stands 8.2 s of work in any 2 s, which is 41 lookups of 0.2 s.
        assertThat(bySettings).isLessThan(4);
        assertThat(byPlan).isBetween(8, 36);
    }

    private static int sentToACold(int rank, double coldPart) {
        FakePolicyActions one = new FakePolicyActions();
        one.managers = 2_600;
        one.rank = rank;
        one.coldPart = coldPart;
        one.start(2);
        one.brain.onQuotaChanged(one.now, 1.0 / 160);
        one.take(0, LOOKUP).end(0, AttemptOutcome.SUCCEEDED);
        one.change(0, Lifecycle.GONE, 0)
                .change(1, Lifecycle.ACTIVE, one.now)
                .take(1, LOOKUP)
                .take(2, LOOKUP);
        return one.sent(1) + one.sent(2);
    }

    @Test
    void boundsThatGrewInCalmTimesAndAreNotUsedDoNotOutlastTheFirstSecondsOfAJam() {
        host.managers = 64;
        host.start(8);
        for (int b = 0; b < 96; b++) {
            host.take(b, REPORT);
            for (int done = b - 7; b % 8 == 7 && done <= b; done++) {
                host.slowly(done, 9_000);
            }
            host.pass(SECOND / 8);
        }
        for (int b = 100; b < 120; b++) {
            host.take(b, LOOKUP).slowly(b, 60_000);
        }
        host.pass(2 * SECOND);
        for (int b = 200; b < 220; b++) {
            host.take(b, REPORT);
        }
        assertThat(host.dispatches.keySet().stream().filter(b -> b >= 200).count()).isLessThan(3);
    }

    @Test
    void lookupsThatAreSlowThemselvesNoLongerPassTheirPart() {
        host.managers = 64;
        host.start(8);
        for (int b = 0; b < 16; b++) {
            host.take(b, LOOKUP).slowly(b, 30_000);
        }
        for (int b = 100; b < 120; b++) {
            host.take(b, LOOKUP);
        }
        assertThat(host.dispatches.keySet().stream().filter(b -> b >= 100)).hasSizeLessThan(5);
    }

    // ---- Rule 5
    @Test
    void batchesOfOneKeyRunInTurnAndTheKeyRestsAfterABreak() {
        host.start(3).take(1, LOAD, 9, 0, -1).take(2, LOAD, 9, 0, -1).take(3, LOAD, 9, 0, -1);
        assertThat(host.sent(2)).isZero();
        host.end(1, AttemptOutcome.SUCCEEDED);
        assertThat(host.sent(2)).isEqualTo(1);
        host.end(2, AttemptOutcome.CONNECTION_LOST).pass(SECOND / 2 - 200);
        assertThat(host.sent(3)).isZero();
        host.pass(400);
        assertThat(host.sent(3)).isEqualTo(1);
    }

    // ---- Rules 6, 7
    @Test
    void aBoundGroupWaitsRatherThanLeaveItsZone() {
        host.lookupZones = Set.of(1);
        host.start(4)
                .change(2, Lifecycle.GONE, 0)
                .change(3, Lifecycle.GONE, 0)
                .take(1, LOOKUP)
                .pass(5 * SECOND);
        assertThat(host.sent(1)).isZero();
        assertThat(host.answered(1)).isTrue();
    }

    @Test
    void furtherDispatchesStayWithinTheBudget() {
        host.furtherRatio = 0.1;
        host.start(20);
        for (int b = 0; b < 10; b++) {
            host.take(b, LOOKUP).end(b, AttemptOutcome.REFUSED);
        }
        // One free and a tenth of ten taken.
        int further = host.dispatches.values().stream().mapToInt(n -> n - 1).sum();
        assertThat(further).isBetween(1, 2);
    }

    // ---- The design's ordinary path
    @Test
    void theGrantIsTheEstimateWithAQuarterOnTop() {
        host.start(1).take(1, LOOKUP, -1, 400, -1);
        assertThat(host.acts).contains("provide 1 500");
    }

    @Test
    void aSpilledGrantTeachesALargerMargin() {
        host.start(1)
                .take(1, LOOKUP, -1, 400, -1)
                .note(1, AttemptProgress.Kind.SPILLING, 40)
                .end(1, AttemptOutcome.SUCCEEDED);
        host.take(2, LOOKUP, -1, 400, -1);
        assertThat(host.acts).doesNotContain("provide 2 500");
    }

    @Test
    void underPressureWhatFitsNowhereIsSkippedAndHeldInOrder() {
        host.start(1).take(1, REPORT).note(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        for (int b = 2; b < 40; b++) {
            host.take(b, b % 2 == 0 ? REPORT : LOOKUP);
        }
        List<String> sent = host.acts.stream().filter(a -> a.startsWith("dispatch")).toList();
        assertThat(sent).hasSizeLessThan(20);
        host.end(1, AttemptOutcome.SUCCEEDED);
        assertThat(host.sent(1)).isEqualTo(1);
    }

    // ---- Health
    @Test
    void anEngineWithoutNotesDrawsNoMoreAndItsRepeatableBatchesGoElsewhere() {
        host.secondCopies = true;
        host.start(2).take(1, REPORT);
        int silent = host.on(1);
        host.pass(2 * SECOND);
        assertThat(host.sent(1)).isEqualTo(2);
        assertThat(host.on(1)).isNotEqualTo(silent);
        host.take(2, LOAD).take(3, LOAD);
        assertThat(host.on(2)).isNotEqualTo(silent);
        assertThat(host.on(3)).isNotEqualTo(silent);
    }

    @Test
    void aDispatchWithoutNotesIsLostOnALivingEngine() {
        host.callOff = true;
        host.start(1).take(1, REPORT).take(2, REPORT);
        for (int beat = 0; beat < 4; beat++) {
            host.pass(SECOND / 2).note(1, AttemptProgress.Kind.FRACTION_DONE, 0.1 + beat * 0.2);
        }
        assertThat(host.acts).contains("callOff 2").doesNotContain("callOff 1");
    }

    @Test
    void aDispatchInTheEnginesLineOwesNoNotes() {
        host.callOff = true;
        host.start(1)
                .take(1, REPORT)
                .note(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0)
                .pass(3 * SECOND);
        assertThat(host.acts).doesNotContain("callOff 1");
    }

    @Test
    void aRunawayIsCalledOffAndSentAgain() {
        host.callOff = true;
        host.start(2)
                .take(1, REPORT)
                .pass(SECOND)
                .note(1, AttemptProgress.Kind.FRACTION_DONE, 0.05);
        assertThat(host.acts).contains("callOff 1");
        host.end(1, AttemptOutcome.CANCELLED);
        assertThat(host.sent(1)).isEqualTo(2);
    }

    @Test
    void anEngineThatErrsAtOnceDoesNotDrawEveryBatch() {
        host.start(2);
        int bad = host.take(0, LOOKUP).on(0);
        host.end(0, AttemptOutcome.FAILED);
        for (int b = 1; b < 20; b++) {
            host.take(b, LOOKUP);
            host.end(b, host.on(b) == bad ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED);
            if (host.sent(b) > 1) {
                host.end(b, AttemptOutcome.SUCCEEDED);
            }
        }
        long drawn = host.acts.stream().filter(a -> a.equals("dispatch to " + bad)).count();
        assertThat(drawn).isBetween(3L, 5L);
    }

    @Test
    void batchesThatErrWhereverTheyGoCloseNoEngineAndGoNoFurther() {
        host.start(4);
        for (int b = 0; b < 8; b++) {
            host.take(b, LOOKUP).end(b, AttemptOutcome.FAILED).end(b, AttemptOutcome.FAILED);
            assertThat(host.sent(b)).isEqualTo(2);
            assertThat(host.acts).contains("error " + b);
        }
        for (int b = 10; b < 14; b++) {
            host.take(b, REPORT);
        }
        assertThat(List.of(host.on(10), host.on(11), host.on(12), host.on(13)))
                .doesNotHaveDuplicates();
    }

    @Test
    void aBatchWhoseTurnCannotBeToldIsPushedBackAndTheFirstOfItsKeyGoesAfterIt() {
        host.start(2).takeOutOfTurn(2, 7);
        assertThat(host.acts).contains("pushBack 2");
        host.take(1, LOAD, 7, 0, -1);
        assertThat(host.sent(1)).isZero();
        host.pass(SECOND / 5);
        assertThat(host.sent(1)).isEqualTo(1);
        assertThat(host.sent(2)).isZero();
    }

    @Test
    void theNextOfAKeyWaitsWhileAnEngineMayHoldTheFirst() {
        host.start(2)
                .take(1, LOAD, 7, 0, -1)
                .take(2, LOAD, 7, 0, -1)
                .endHeld(1, AttemptOutcome.FAILED, 2 * SECOND);
        assertThat(host.acts).contains("error 1");
        assertThat(host.pass(SECOND * 19 / 10).sent(2)).isZero();
        assertThat(host.pass(SECOND / 5).sent(2)).isEqualTo(1);
    }

    @Test
    void anEngineThatRefusesRestsUntilOneOfOursReturns() {
        host.start(1)
                .take(1, REPORT)
                .take(2, LOOKUP)
                .end(2, AttemptOutcome.REFUSED)
                .take(3, LOOKUP);
        assertThat(host.sent(3)).isZero();
        host.end(1, AttemptOutcome.SUCCEEDED);
        assertThat(host.sent(3)).isEqualTo(1);
    }

    // ---- Jams
    @Test
    void aJamDoesNotBecomeTheNewNormal() {
        host.start(1);
        // Answers ten times over the estimate, from the first on: the gate must bind, not take them
        // as calm.
        for (int b = 0; b < 60; b++) {
            host.take(b, LOOKUP);
            if (host.sent(b) > 0) {
                host.slowly(b, 20_000);
            }
            host.pass(SECOND / 20);
        }
        for (int b = 100; b < 160; b++) {
            host.take(b, LOOKUP);
        }
        assertThat(host.dispatches.keySet().stream().filter(b -> b >= 100)).hasSizeLessThan(16);
    }

    @Test
    void theGateStaysShutWhileBatchesWait() {
        host.managers = 4;
        host.start(1).take(1, REPORT).note(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        for (int b = 2; b < 30; b++) {
            host.take(b, REPORT);
        }
        for (int beat = 0; beat < 16; beat++) {
            host.note(1, AttemptProgress.Kind.FRACTION_DONE, 0).pass(SECOND / 2);
        }
        // Eight seconds after the only sign of pressure, the queue has not gone out at once.
        assertThat(host.dispatches).hasSizeLessThan(5);
    }

    @Test
    void aWaitForMemoryTakesFromTheMargin() {
        host.start(2)
                .take(1, LOOKUP, -1, 400, -1)
                .note(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        host.take(2, LOOKUP, -1, 400, -1);
        assertThat(host.acts).contains("provide 1 500").contains("provide 2 484");
    }

    @Test
    void aShortBatchIsNotStarvedByLongOnes() {
        host.managers = 4;
        host.start(1)
                .take(1, REPORT, -1, 100, -1)
                .note(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        host.take(2, REPORT, -1, 100, -1).take(3, REPORT, -1, 100, -1).take(4, LOOKUP, -1, 100, -1);
        assertThat(host.sent(3)).isZero();
        assertThat(host.sent(4)).isEqualTo(1);
    }

    @Test
    void loneBatchesStayWithinAllBoundsTogether() {
        host.managers = 16;
        host.start(4);
        for (int e = 0; e < 4; e++) {
            host.brain.onProbeResult(
                    host.now, e, AttemptOutcome.SUCCEEDED, new LoadReport(0, 5, 0, 0, 0));
        }
        // Four engines with a bound of one thread each: two reports of two threads, not one on
        // every engine.
        for (int b = 10; b < 14; b++) {
            host.take(b, REPORT, -1, 100, -1);
        }
        assertThat(host.dispatches.keySet().stream().filter(b -> b >= 10)).hasSize(2);
    }

    @Test
    void aLoadTakesNoPlaceKeptForShortBatches() {
        host.managers = 8;
        host.start(1)
                .take(1, LOAD, -1, 100, -1)
                .note(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0)
                .take(2, LOOKUP, -1, 100, -1);
        assertThat(host.sent(2)).isEqualTo(1);
    }

    @Test
    void aReportIsGivenUpByItsGoalWhileTheQueueIsLong() {
        host.estimate = false;
        host.start(1).change(0, Lifecycle.GONE, 0).take(1, REPORT).pass(4 * SECOND);
        // Its goal is 9 s off and its usual run takes 3 s; its late part could have waited until 17
        // s.
        assertThat(host.answered(1)).isFalse();
        host.pass(4 * SECOND);
        assertThat(host.acts).contains("pushBack 1");
    }

    @Test
    void aCustomerBeyondItsShareMayNotFillTheQueue() {
        host.rates = List.of(1.0, 100.0);
        host.start(0);
        for (int b = 0; b < 30; b++) {
            host.take(b, REPORT, -1, 0, 0);
        }
        assertThat(host.acts).contains("pushBack 29");
        host.take(30, REPORT, -1, 0, 1);
        assertThat(host.answered(30)).isFalse();
    }

    @Test
    void managersWithLessThanABatchOfAnEngineDoNotAllMeetOnOne() {
        Set<Integer> met = new HashSet<>();
        for (int seed = 0; seed < 10; seed++) {
            FakePolicyActions one = new FakePolicyActions();
            one.managers = 64;
            one.seed = seed;
            met.add(one.start(12).takeReading(1, LOOKUP, 5).on(1));
        }
        assertThat(met).hasSizeGreaterThan(3);
    }

    @Test
    void withLessThanABatchOfAnEngineACostlyBatchLooksForOneWithoutALine() {
        host.managers = 64;
        host.probePrice = 0.01;
        host.start(3).take(9, REPORT);
        assertThat(host.acts)
                .as("while all is calm a probe earns nothing")
                .noneMatch(act -> act.startsWith("probe"));
        host.end(9, AttemptOutcome.SUCCEEDED)
                .take(10, LOOKUP)
                .slowly(10, 30_000)
                .take(11, LOOKUP)
                .slowly(11, 30_000);
        host.take(1, REPORT);
        assertThat(host.acts).contains("probe 0", "probe 1", "probe 2");
        assertThat(host.sent(1)).isZero();
        for (int e = 0; e < 3; e++) {
            host.brain.onProbeResult(
                    host.now,
                    e,
                    AttemptOutcome.SUCCEEDED,
                    new LoadReport(0, e == 1 ? 0 : 4, 0, 0, 0));
        }
        host.brain.runPendingActions(host.now);
        assertThat(host.on(1)).isEqualTo(1);
        // The three probes of a lookup would cost more than it can lose.
        host.acts.clear();
        host.take(2, LOOKUP);
        assertThat(host.acts).noneMatch(act -> act.startsWith("probe"));
    }

    @Test
    void whereProbesTellNoLoadACostlyBatchGoesWithoutOne() {
        host.managers = 64;
        host.probePrice = 0.01;
        host.probesTell = false;
        host.start(3).take(9, REPORT).end(9, AttemptOutcome.SUCCEEDED);
        host.take(10, LOOKUP).slowly(10, 30_000).take(11, LOOKUP).slowly(11, 30_000);
        host.take(1, REPORT);
        // Probed, it would wait for a load report that never comes, and be given up unsent.
        assertThat(host.acts).noneMatch(act -> act.startsWith("probe"));
        assertThat(host.sent(1)).isEqualTo(1);
    }

    @Test
    void anEngineThatToldOfACrowdIsPassedOverWhileThatIsFresh() {
        host.managers = 64;
        host.start(2);
        host.brain.onProbeResult(
                host.now, 0, AttemptOutcome.SUCCEEDED, new LoadReport(14, 0, 0, 0, 0));
        host.brain.onProbeResult(
                host.now, 1, AttemptOutcome.SUCCEEDED, new LoadReport(2, 0, 0, 0, 0));
        for (int b = 0; b < 8; b++) {
            assertThat(host.take(b, LOOKUP).on(b)).isEqualTo(1);
            host.end(b, AttemptOutcome.SUCCEEDED);
        }
    }

    @Test
    void loadsOfTheSameTablesGoToDifferentEngines() {
        host.start(4).takeReading(1, LOAD, 5).takeReading(2, LOAD, 5).takeReading(3, LOOKUP, 5);
        assertThat(host.on(2)).isNotEqualTo(host.on(1));
        assertThat(host.on(3)).isNotIn(host.on(1), host.on(2));
    }
}
