package firstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.simulation.schedule.MembershipFigures;
import firstage.simulation.schedule.SimulatedMembership;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/**
 * The membership in virtual time: pauses, lost messages, one-sided cuts, deaths together, and
 * faults put back.
 */
class MembershipProtocolTest {
    private static final long SECOND = 10_000;

    private static SimulatedMembership field(int count, MembershipProtocol.InjectedDefect fault) {
        SimulatedMembership f =
                new SimulatedMembership(count, 7, fault, QuotaLeases.InjectedDefect.NONE);
        assertThat(f.startAll()).isNotNegative();
        f.pass(5 * SECOND);
        f.changes();
        return f;
    }

    @Test
    void detection_twelveManagers_withinTargets() {
        Map<String, Double> figures = MembershipFigures.play(12, 2);
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
        assertThat(MembershipFigures.falselyGone(8, 3, 4, SECOND)).isZero();
    }

    @Test
    void oneWayCut_indirectProbes_bothStayAlive() {
        SimulatedMembership f = field(6, MembershipProtocol.InjectedDefect.NONE);
        f.cut(1, 0, true);
        f.pass(3 * SECOND);
        assertThat(f.falselyGone()).isEmpty();
        assertThat(f.agreed()).isTrue();
        MembershipProtocol zero = f.places().get(0).members();
        MembershipProtocol one = f.places().get(1).members();
        assertThat(zero.linkState(f.calendar().now(), "m1")).isIn("deaf", "cut");
        assertThat(one.linkState(f.calendar().now(), "m0")).isIn("unheard", "cut");
        assertThat(zero.linkState(f.calendar().now(), "m2")).isEqualTo("ok");
        f.pass(20 * SECOND);
        assertThat(f.agreed()).isTrue();
        assertThat(f.falselyGone()).isEmpty();
    }

    @Test
    void oneWayCut_noIndirectProbes_liveMemberSuspected() {
        SimulatedMembership f = field(6, MembershipProtocol.InjectedDefect.NO_INDIRECT_PROBES);
        f.cut(1, 0, true);
        f.cut(0, 1, true);
        f.pass(6 * SECOND);
        assertThat(f.changes()).isNotEmpty();
    }

    @Test
    void suspicion_refutationIgnored_liveMemberDead() {
        for (MembershipProtocol.InjectedDefect fault :
                List.of(
                        MembershipProtocol.InjectedDefect.NONE,
                        MembershipProtocol.InjectedDefect.REFUTATION_IGNORED)) {
            SimulatedMembership f = field(5, fault);
            isolate(f, 2, true);
            f.pass(2 * SECOND);
            isolate(f, 2, false);
            f.pass(20 * SECOND);
            assertThat(f.falselyGone().isEmpty())
                    .isEqualTo(fault == MembershipProtocol.InjectedDefect.NONE);
        }
    }

    private static void isolate(SimulatedMembership f, int one, boolean is) {
        for (int m = 0; m < f.places().size(); m++) {
            f.cut(one, m, is);
            f.cut(m, one, is);
        }
    }

    @Test
    void pause_onWaking_judgesNobody() {
        SimulatedMembership good = field(5, MembershipProtocol.InjectedDefect.NONE);
        good.places().get(2).pause(8 * SECOND);
        good.pass(8 * SECOND + 200);
        List<Member> held = good.places().get(2).members().members();
        assertThat(held).allMatch(e -> e.state() == MemberState.ALIVE);
        good.pass(5 * SECOND);
        assertThat(good.agreed()).isTrue();
    }

    @Test
    void isolation_noAnswers_judgesNobody() {
        for (MembershipProtocol.InjectedDefect fault :
                List.of(
                        MembershipProtocol.InjectedDefect.NONE,
                        MembershipProtocol.InjectedDefect.ISOLATED_MANAGER_JUDGES)) {
            SimulatedMembership f = field(6, fault);
            isolate(f, 0, true);
            f.pass(30 * SECOND);
            long gone =
                    f.places().get(0).members().members().stream()
                            .filter(e -> e.state() == MemberState.DEAD)
                            .count();
            assertThat(gone).isEqualTo(fault == MembershipProtocol.InjectedDefect.NONE ? 0 : 5);
            assertThat(f.places().get(0).members().confidence(f.calendar().now())).isZero();
        }
    }

    @Test
    void gossip_olderIncarnation_neverOverrides() {
        for (MembershipProtocol.InjectedDefect fault :
                List.of(
                        MembershipProtocol.InjectedDefect.NONE,
                        MembershipProtocol.InjectedDefect.OLDER_INCARNATION_WINS)) {
            SimulatedMembership f = field(4, fault);
            MembershipProtocol one = f.places().get(1).members();
            long now = f.calendar().now();
            long life =
                    one.members().stream()
                            .filter(e -> e.name().equals("m2"))
                            .findFirst()
                            .orElseThrow()
                            .incarnation();
            // m2 repeats what was said of m3 in a life before.
            one.onDatagram(
                    now,
                    2,
                    new MessageCodec(1_200)
                            .encode(
                                    new MembershipMessage(
                                            "field",
                                            "m2",
                                            life,
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
            assertThat(one.members())
                    .filteredOn(e -> e.name().equals("m3"))
                    .allMatch(
                            e ->
                                    e.state()
                                            == (fault == MembershipProtocol.InjectedDefect.NONE
                                                    ? MemberState.ALIVE
                                                    : MemberState.DEAD));
        }
    }

    @Test
    void flapDamping_repeatedReturns_heldOutLonger() {
        int[] changes = new int[2];
        for (int i = 0; i < 2; i++) {
            SimulatedMembership f =
                    field(
                            6,
                            i == 0
                                    ? MembershipProtocol.InjectedDefect.NONE
                                    : MembershipProtocol.InjectedDefect.FLAP_DAMPING_OFF);
            for (int round = 0; round < 40; round++) {
                boolean cut = round % 2 == 0;
                isolate(f, 0, cut);
                f.pass(3 * SECOND);
            }
            changes[i] = f.places().get(3).views();
        }
        assertThat(changes[0]).isLessThan(changes[1] * 2 / 3);
    }

    @Test
    void onDatagram_malformedForeignOrOld_changesNothing() {
        SimulatedMembership f = field(3, MembershipProtocol.InjectedDefect.NONE);
        MembershipProtocol one = f.places().get(1).members();
        long now = f.calendar().now();
        byte[] good =
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
        byte[] foreign =
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
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        one.onDatagram(now, 2, good);
        one.onDatagram(now, 2, foreign);
        one.onDatagram(now, 2, new byte[2_000]);
        for (int i = 0; i < 20_000; i++) {
            byte[] spoilt = good.clone();
            for (int n = 0; n <= chance.nextInt(4); n++) {
                spoilt[chance.nextInt(spoilt.length)] = (byte) chance.nextInt();
            }
            byte[] cut = new byte[chance.nextInt(spoilt.length + 1)];
            System.arraycopy(spoilt, 0, cut, 0, cut.length);
            // Of an older life, whatever else was spoilt, or not to be read at all; a new name is
            // another matter.
            try {
                MembershipMessage m = new MessageCodec(1_200).decode(cut);
                if (!m.from().equals("m2") || m.incarnation() > 1) {
                    continue;
                }
            } catch (MessageCodec.MalformedMessageException expected) {
                // Refused below, too.
            }
            one.onDatagram(now, 2, cut);
        }
        assertThat(one.members()).hasSize(3).allMatch(e -> e.state() == MemberState.ALIVE);
        assertThat(one.rejectedMessages())
                .containsKeys("an older life", "another fleet", "too long", "spoilt");
    }

    @Test
    void onDatagram_twoOfOneName_firstStays() {
        SimulatedMembership f = field(3, MembershipProtocol.InjectedDefect.NONE);
        MembershipProtocol one = f.places().get(1).members();
        byte[] second =
                new MessageCodec(1_200)
                        .encode(
                                new MembershipMessage(
                                        "field",
                                        "m2",
                                        f.calendar().now() * 2,
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
        one.onDatagram(f.calendar().now(), 0, second);
        assertThat(one.rejectedMessages()).containsKey("two of one name");
    }

    @Test
    void leave_thenRestart_notSuspectedAndKnownAgain() {
        SimulatedMembership f = field(4, MembershipProtocol.InjectedDefect.NONE);
        f.places().get(2).members().leave(f.calendar().now());
        f.pass(SECOND / 2);
        f.places().get(2).kill();
        f.pass(SECOND);
        assertThat(f.places().get(0).members().members())
                .filteredOn(e -> e.name().equals("m2"))
                .allMatch(e -> e.state() == MemberState.LEFT);
        assertThat(f.agreed()).isTrue();
        f.places().get(2).start();
        assertThat(f.untilAgreed(5 * SECOND)).isNotNegative();
    }
}
