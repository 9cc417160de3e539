package firstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.simulation.schedule.MembershipFigures;
import firstage.simulation.schedule.SimulatedMembership;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the membership in virtual time: pauses, lost messages, one-way cuts, simultaneous deaths
 * and injected defects.
 */
class MembershipProtocolTest {
    private static final long SECOND = 10_000;

    private static SimulatedMembership settledFleet(
            int count, MembershipProtocol.InjectedDefect defect) {
        SimulatedMembership fleet =
                new SimulatedMembership(count, 7, defect, QuotaLeases.InjectedDefect.NONE);
        assertThat(fleet.startAll()).isNotNegative();
        fleet.advance(5 * SECOND);
        fleet.takeViewChanges();
        return fleet;
    }

    @Test
    void detection_twelveManagers_withinTargets() {
        Map<String, Double> figures = MembershipFigures.measure(12, 2);
        assertThat(figures.get("a killed one doubted everywhere, s, median")).isLessThan(1.0);
        assertThat(figures.get("a killed one doubted everywhere, s, 99th")).isLessThan(2.5);
        assertThat(figures.get("half killed, one view, s, most")).isLessThan(3.0);
        assertThat(figures.get("half killed, views on the way, most")).isLessThanOrEqualTo(3.0);
        assertThat(figures.get("split of 20 s healed, one view, s, most")).isLessThan(3.0);
        assertThat(figures.get("bytes a second and manager")).isLessThan(4_000);
        assertThat(figures.get("never agreed")).isZero();
    }

    @Test
    void detection_shortPausesAndLoss_nobodyFalselyDead() {
        assertThat(MembershipFigures.countFalselyDead(8, 3, 4, SECOND)).isZero();
    }

    @Test
    void oneWayCut_indirectProbes_bothStayAlive() {
        SimulatedMembership fleet = settledFleet(6, MembershipProtocol.InjectedDefect.NONE);
        fleet.setBlocked(1, 0, true);
        fleet.advance(3 * SECOND);
        assertThat(fleet.falselyDead()).isEmpty();
        assertThat(fleet.isAgreed()).isTrue();
        MembershipProtocol manager0 = fleet.hosts().get(0).membership();
        MembershipProtocol manager1 = fleet.hosts().get(1).membership();
        assertThat(manager0.linkState(fleet.events().now(), "m1")).isIn("deaf", "cut");
        assertThat(manager1.linkState(fleet.events().now(), "m0")).isIn("unheard", "cut");
        assertThat(manager0.linkState(fleet.events().now(), "m2")).isEqualTo("ok");
        fleet.advance(20 * SECOND);
        assertThat(fleet.isAgreed()).isTrue();
        assertThat(fleet.falselyDead()).isEmpty();
    }

    @Test
    void oneWayCut_noIndirectProbes_liveMemberSuspected() {
        SimulatedMembership fleet =
                settledFleet(6, MembershipProtocol.InjectedDefect.NO_INDIRECT_PROBES);
        fleet.setBlocked(1, 0, true);
        fleet.setBlocked(0, 1, true);
        fleet.advance(6 * SECOND);
        assertThat(fleet.takeViewChanges()).isNotEmpty();
    }

    @Test
    void suspicion_refutationIgnored_liveMemberDead() {
        for (MembershipProtocol.InjectedDefect defect :
                List.of(
                        MembershipProtocol.InjectedDefect.NONE,
                        MembershipProtocol.InjectedDefect.REFUTATION_IGNORED)) {
            SimulatedMembership fleet = settledFleet(5, defect);
            isolate(fleet, 2, true);
            fleet.advance(2 * SECOND);
            isolate(fleet, 2, false);
            fleet.advance(20 * SECOND);
            assertThat(fleet.falselyDead().isEmpty())
                    .isEqualTo(defect == MembershipProtocol.InjectedDefect.NONE);
        }
    }

    private static void isolate(SimulatedMembership fleet, int isolated, boolean blocked) {
        for (int m = 0; m < fleet.hosts().size(); m++) {
            fleet.setBlocked(isolated, m, blocked);
            fleet.setBlocked(m, isolated, blocked);
        }
    }

    @Test
    void pause_afterResuming_noPeerSuspected() {
        SimulatedMembership fleet = settledFleet(5, MembershipProtocol.InjectedDefect.NONE);
        fleet.hosts().get(2).pause(8 * SECOND);
        fleet.advance(8 * SECOND + 200);
        List<Member> members = fleet.hosts().get(2).membership().members();
        assertThat(members).allMatch(member -> member.state() == MemberState.ALIVE);
        fleet.advance(5 * SECOND);
        assertThat(fleet.isAgreed()).isTrue();
    }

    @Test
    void isolation_noAnswers_noPeerDeclaredDead() {
        for (MembershipProtocol.InjectedDefect defect :
                List.of(
                        MembershipProtocol.InjectedDefect.NONE,
                        MembershipProtocol.InjectedDefect.ISOLATED_MANAGER_REPORTS_FAILURES)) {
            SimulatedMembership fleet = settledFleet(6, defect);
            isolate(fleet, 0, true);
            fleet.advance(30 * SECOND);
            long deadCount =
                    fleet.hosts().get(0).membership().members().stream()
                            .filter(member -> member.state() == MemberState.DEAD)
                            .count();
            assertThat(deadCount)
                    .isEqualTo(defect == MembershipProtocol.InjectedDefect.NONE ? 0 : 5);
            assertThat(
                            fleet.hosts()
                                    .get(0)
                                    .membership()
                                    .recentlyAliveFraction(fleet.events().now()))
                    .isZero();
        }
    }

    @Test
    void gossip_olderIncarnation_neverOverrides() {
        for (MembershipProtocol.InjectedDefect defect :
                List.of(
                        MembershipProtocol.InjectedDefect.NONE,
                        MembershipProtocol.InjectedDefect.OLDER_INCARNATION_WINS)) {
            SimulatedMembership fleet = settledFleet(4, defect);
            MembershipProtocol manager1 = fleet.hosts().get(1).membership();
            long now = fleet.events().now();
            long incarnation =
                    manager1.members().stream()
                            .filter(member -> member.name().equals("m2"))
                            .findFirst()
                            .orElseThrow()
                            .incarnation();
            // m2 gossips a record of an earlier incarnation of m3.
            manager1.onDatagram(
                    now,
                    2,
                    new MessageCodec(1_200)
                            .encode(
                                    new MembershipMessage(
                                            "field",
                                            "m2",
                                            incarnation,
                                            MembershipMessage.Kind.PING,
                                            1,
                                            "m1",
                                            1,
                                            2,
                                            3,
                                            false,
                                            List.of(),
                                            List.of(),
                                            List.of(
                                                    new Member(
                                                            "m3",
                                                            "z1",
                                                            5,
                                                            MemberState.DEAD,
                                                            "1",
                                                            1)),
                                            new byte[0])));
            assertThat(manager1.members())
                    .filteredOn(member -> member.name().equals("m3"))
                    .allMatch(
                            member ->
                                    member.state()
                                            == (defect == MembershipProtocol.InjectedDefect.NONE
                                                    ? MemberState.ALIVE
                                                    : MemberState.DEAD));
        }
    }

    @Test
    void flapDamping_repeatedReturns_heldOutLonger() {
        int[] changes = new int[2];
        for (int i = 0; i < 2; i++) {
            SimulatedMembership fleet =
                    settledFleet(
                            6,
                            i == 0
                                    ? MembershipProtocol.InjectedDefect.NONE
                                    : MembershipProtocol.InjectedDefect.FLAP_DAMPING_OFF);
            for (int round = 0; round < 40; round++) {
                boolean cut = round % 2 == 0;
                isolate(fleet, 0, cut);
                fleet.advance(3 * SECOND);
            }
            changes[i] = fleet.hosts().get(3).viewChangeCount();
        }
        assertThat(changes[0]).isLessThan(changes[1] * 2 / 3);
    }

    @Test
    void onDatagram_malformedForeignOrOld_changesNothing() {
        SimulatedMembership fleet = settledFleet(3, MembershipProtocol.InjectedDefect.NONE);
        MembershipProtocol manager1 = fleet.hosts().get(1).membership();
        long now = fleet.events().now();
        byte[] oldIncarnation =
                new MessageCodec(1_200)
                        .encode(
                                new MembershipMessage(
                                        "field",
                                        "m2",
                                        1,
                                        MembershipMessage.Kind.PING,
                                        9,
                                        "m1",
                                        1,
                                        2,
                                        3,
                                        false,
                                        List.of(),
                                        List.of(),
                                        List.of(
                                                new Member(
                                                        "m0", "z", 99, MemberState.DEAD, "1", 1)),
                                        new byte[0]));
        byte[] otherFleet =
                new MessageCodec(1_200)
                        .encode(
                                new MembershipMessage(
                                        "other",
                                        "m2",
                                        now * 2,
                                        MembershipMessage.Kind.PING,
                                        9,
                                        "m1",
                                        1,
                                        2,
                                        3,
                                        false,
                                        List.of(),
                                        List.of(),
                                        List.of(),
                                        new byte[0]));
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        manager1.onDatagram(now, 2, oldIncarnation);
        manager1.onDatagram(now, 2, otherFleet);
        manager1.onDatagram(now, 2, new byte[2_000]);
        for (int i = 0; i < 20_000; i++) {
            byte[] corrupted = oldIncarnation.clone();
            for (int change = 0; change <= random.nextInt(4); change++) {
                corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
            }
            byte[] truncated = new byte[random.nextInt(corrupted.length + 1)];
            System.arraycopy(corrupted, 0, truncated, 0, truncated.length);
            // Keeps malformed datagrams and those of the old incarnation of m2. Others are skipped,
            // since a datagram with a new name may add a member.
            try {
                MembershipMessage message = new MessageCodec(1_200).decode(truncated);
                if (!message.from().equals("m2") || message.incarnation() > 1) {
                    continue;
                }
            } catch (MessageCodec.MalformedMessageException expected) {
                // A malformed datagram must be rejected, too.
            }
            manager1.onDatagram(now, 2, truncated);
        }
        assertThat(manager1.members())
                .hasSize(3)
                .allMatch(member -> member.state() == MemberState.ALIVE);
        assertThat(manager1.rejectedMessages())
                .containsKeys("an older life", "another fleet", "too long", "spoilt");
    }

    @Test
    void onDatagram_twoOfOneName_firstStays() {
        SimulatedMembership fleet = settledFleet(3, MembershipProtocol.InjectedDefect.NONE);
        MembershipProtocol manager1 = fleet.hosts().get(1).membership();
        byte[] duplicate =
                new MessageCodec(1_200)
                        .encode(
                                new MembershipMessage(
                                        "field",
                                        "m2",
                                        fleet.events().now() * 2,
                                        MembershipMessage.Kind.PING,
                                        1,
                                        "m1",
                                        1,
                                        2,
                                        3,
                                        false,
                                        List.of(),
                                        List.of(),
                                        List.of(),
                                        new byte[0]));
        manager1.onDatagram(fleet.events().now(), 0, duplicate);
        assertThat(manager1.rejectedMessages()).containsKey("two of one name");
    }

    /**
     * Guards against a new manager whose answers from the address of one that has gone passed for
     * that one's: it stayed in the view for ever.
     */
    @Test
    void addressUsedAgain_managerOfOtherName_predecessorLeavesTheView() {
        SimulatedMembership fleet = settledFleet(6, MembershipProtocol.InjectedDefect.NONE);
        fleet.hosts().get(2).kill();
        fleet.hosts().get(2).startReplacement("n2");
        assertThat(fleet.timesUntilNotAlive(2, 5 * SECOND))
                .allMatch(time -> time >= 0 && time <= 3 * SECOND);
        assertThat(fleet.timeUntilAgreed(3 * SECOND)).isNotNegative();
        fleet.advance(10 * SECOND);
        assertThat(fleet.isAgreed()).isTrue();
        assertThat(fleet.falselyDead()).isEmpty();
    }

    /**
     * Guards against a share that counts twice: the others use that of a dead manager, and a new
     * one of another name at its address uses the same.
     */
    @ParameterizedTest
    @ValueSource(longs = {500, 2_000, 9_000, 11_000, 14_000, 30_000})
    void addressUsedAgain_managerOfOtherName_sharesNeverExceedOne(long afterMs) {
        SimulatedMembership fleet = settledFleet(6, MembershipProtocol.InjectedDefect.NONE);
        fleet.hosts().get(2).kill();
        fleet.advance(afterMs * SECOND / 1_000);
        fleet.hosts().get(2).startReplacement("n2");
        for (int step = 0; step < 3_000; step++) {
            fleet.advance(SECOND / 100);
            assertThat(fleet.totalShare()).isLessThan(1 + 1e-9);
        }
        assertThat(fleet.totalShare()).isGreaterThan(1 - 1e-9);
        assertThat(fleet.isAgreed()).isTrue();
    }

    @Test
    void leave_thenRestart_notSuspectedAndKnownAgain() {
        SimulatedMembership fleet = settledFleet(4, MembershipProtocol.InjectedDefect.NONE);
        fleet.hosts().get(2).membership().leave(fleet.events().now());
        fleet.advance(SECOND / 2);
        fleet.hosts().get(2).kill();
        fleet.advance(SECOND);
        assertThat(fleet.hosts().get(0).membership().members())
                .filteredOn(member -> member.name().equals("m2"))
                .allMatch(member -> member.state() == MemberState.LEFT);
        assertThat(fleet.isAgreed()).isTrue();
        fleet.hosts().get(2).start();
        assertThat(fleet.timeUntilAgreed(5 * SECOND)).isNotNegative();
    }
}
